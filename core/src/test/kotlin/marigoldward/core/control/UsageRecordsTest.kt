package marigoldward.core.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private fun apply(state: ControlState, command: ControlCommand) = ControlStateMachine.apply(state, 1, command)

private fun recorded(vararg windows: Pair<Long, Map<String, Long>>): ControlState =
    windows.fold(ControlState.EMPTY) { state, (window, counts) ->
        apply(state, ControlCommand.RecordUsage(window, counts)).state
    }

class UsageRecordsTest :
    DescribeSpec({
        describe("recording a usage window") {
            // Guards against two reports of one window with different counts.
            it("happens once: another record of it or of an earlier one is rejected and changes nothing") {
                val state = recorded(5L to mapOf("small" to 1L))
                listOf(5L, 4L, Long.MIN_VALUE).forEach { window ->
                    val again = apply(state, ControlCommand.RecordUsage(window, mapOf("small" to 2L)))
                    again.outcome.shouldBeInstanceOf<ControlOutcome.Rejected>()
                    again.state shouldBe state
                }
            }
            it("is rejected after the window was reported, too") {
                val reported = apply(recorded(5L to emptyMap()), ControlCommand.MarkUsageReported(5)).state
                apply(reported, ControlCommand.RecordUsage(5, emptyMap())).outcome
                    .shouldBeInstanceOf<ControlOutcome.Rejected>()
            }
            it("keeps the newest hour of windows that are not reported") {
                val state = recorded(*(1L..1_000L).map { it to mapOf("small" to it) }.toTypedArray())
                state.usage.unreported.size shouldBe 720
                state.usage.unreported.keys.min() shouldBe 281
            }
            // Guards against a snapshot that grows with the number of workspaces while the provider is unavailable.
            it("keeps a bounded number of counts, but the newest window in any case") {
                val counts = (1..90_000).associate { "w$it" to 1L }
                recorded(1L to counts, 2L to counts, 3L to counts).usage.unreported.keys shouldContainExactly
                    setOf(2L, 3L)
                val huge = (1..250_000).associate { "w$it" to 1L }
                recorded(1L to counts, 2L to huge).usage.unreported.keys shouldContainExactly setOf(2L)
            }
        }

        describe("marking a usage window as reported") {
            it("removes just this window, and changes nothing if it is repeated or not known") {
                val state = recorded(1L to emptyMap(), 2L to emptyMap())
                val marked = apply(state, ControlCommand.MarkUsageReported(1)).state
                marked.usage.unreported.keys shouldContainExactly setOf(2L)
                listOf(1L, 77L).forEach { apply(marked, ControlCommand.MarkUsageReported(it)).state shouldBe marked }
            }
        }
    })
