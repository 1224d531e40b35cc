package marigoldward.control.usage

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import marigoldward.control.LogCapture
import marigoldward.control.duties.ProviderCalls
import marigoldward.control.duties.ProviderCalls.CallResult
import marigoldward.control.replica.LeaderTerm
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.usage.UsageWindows
import marigoldward.support.duty.Duty
import marigoldward.support.time.SystemClocks
import marigoldward.wire.control.SubmitReply
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

/** A provider whose answers are [answer], with the calls that it has got. */
private class RecordedCalls(@Volatile var answer: CallResult) : ProviderCalls {
    val reports = CopyOnWriteArrayList<ProviderCalls.UsageCall>()
    val mayWrite = CopyOnWriteArrayList<Boolean>()

    override fun reportUsage(report: ProviderCalls.UsageCall, mayWrite: () -> Boolean): CallResult {
        this.mayWrite.add(mayWrite())
        reports.add(report)
        return answer
    }

    override fun orderEngines(order: ProviderCalls.EngineOrder, mayWrite: () -> Boolean): CallResult =
        error("no engines are ordered")
}

/** A replica that leads in [term], and whose answers come after [answerMillis]. Windows 1 to [windows] are recorded. */
private class Leading(answer: CallResult, windows: Long, private val marksAreLost: Boolean = false) {
    @Volatile
    var term: Long? = 4

    @Volatile
    var answerMillis = 0L

    @Volatile
    private var state = (1..windows).fold(ControlState.EMPTY) { state, window ->
        ControlStateMachine.apply(state, window, ControlCommand.RecordUsage(window, mapOf("small" to window))).state
    }
    val calls = RecordedCalls(answer)

    suspend fun use(action: suspend (poll: () -> Unit) -> Unit) {
        val replica = Duty.start<ReplicaDutyEvent>("replica", 64) { events ->
            events.filterIsInstance<ReplicaDutyEvent.ReadLeaderTerm>().forEach {
                Thread.sleep(answerMillis)
                it.answer(term)
            }
        }
        replica.use {
            val exchange = UsageExchange(UsageWindows(5_000), 10_000, { state.usage.lastWindow }, { term ?: 0 }) {
                SystemClocks.read()
            }
            val leaderTerm = LeaderTerm(replica, takeoverDelayMillis = 0)
            UsageDuty("machine-1", calls, leaderTerm, exchange, 1, { state.usage }, ::submit)
                .use { duty -> action(duty::poll) }
        }
    }

    private fun submit(command: ControlCommand): SubmitReply {
        if (marksAreLost) return SubmitReply.Unknown
        val applied = ControlStateMachine.apply(state, 1_000, command)
        state = applied.state
        return SubmitReply.Committed(applied.outcome)
    }
}

/** Polls [count] times, each when the round before has ended. */
private fun pollOften(poll: () -> Unit, count: Int) = repeat(count) {
    poll()
    Thread.sleep(5)
}

class UsageDutyTest :
    DescribeSpec({
        describe("recorded windows") {
            it("are reported once each, in order, with their counts") {
                val leading = Leading(CallResult.Accepted, windows = 3)
                leading.use { poll ->
                    eventually(10.seconds) {
                        poll()
                        leading.calls.reports.size shouldBe 3
                    }
                    pollOften(poll, 40)
                }
                leading.calls.reports.map { it.window to it.counts } shouldBe
                    (1L..3L).map { it to mapOf("small" to it) }
                leading.calls.reports.map { it.token.number }.toSet() shouldBe setOf(4L)
            }
            // Guards against a call for each round while the mark of an accepted report is not committed.
            it("are not reported again though the mark of their acceptance is lost") {
                val leading = Leading(CallResult.Accepted, windows = 2, marksAreLost = true)
                leading.use { poll ->
                    eventually(10.seconds) {
                        poll()
                        leading.calls.reports.size shouldBe 2
                    }
                    pollOften(poll, 40)
                }
                leading.calls.reports.map { it.window } shouldBe listOf(1L, 2L)
            }
            it("are repeated with the same counts until the provider answers, with few lines in the log") {
                val leading = Leading(CallResult.TryLater("status 503"), windows = 1)
                LogCapture("usage").use { log ->
                    leading.use { poll ->
                        eventually(10.seconds) {
                            poll()
                            leading.calls.reports.size shouldBe 8
                        }
                        leading.calls.answer = CallResult.Accepted
                        eventually(10.seconds) {
                            poll()
                            log.linesWith("usage_reported", "Accepted").size shouldBe 1
                        }
                    }
                    log.linesWith("usage_reported").size shouldBeLessThan 4
                }
                leading.calls.reports.map { it.window to it.counts }.toSet() shouldBe setOf(1L to mapOf("small" to 1L))
            }
        }

        describe("a holder whose token was refused because of a higher one") {
            it("makes no more calls with it, and calls again with the token of its next term") {
                val leading = Leading(CallResult.Conflict, windows = 2)
                leading.use { poll ->
                    eventually(10.seconds) {
                        poll()
                        leading.calls.reports.size shouldBe 1
                    }
                    pollOften(poll, 40)
                    leading.calls.reports.size shouldBe 1
                    leading.term = 6
                    leading.calls.answer = CallResult.Accepted
                    eventually(10.seconds) {
                        poll()
                        leading.calls.reports.map { it.token.number } shouldBe listOf(4L, 6L, 6L)
                    }
                }
            }
        }

        describe("a replica") {
            it("that does not lead makes no calls") {
                val leading = Leading(CallResult.Accepted, windows = 2)
                leading.term = null
                leading.use { poll -> pollOften(poll, 20) }
                leading.calls.reports.shouldBeEmpty()
            }
            // Guards against a call that is written long after the majority has confirmed the leader.
            it("whose confirmation took longer than 300 ms may not write its call") {
                val leading = Leading(CallResult.Accepted, windows = 1)
                leading.answerMillis = 400
                leading.use { poll ->
                    eventually(10.seconds) {
                        poll()
                        leading.calls.mayWrite.size shouldBe 1
                    }
                }
                leading.calls.mayWrite shouldBe listOf(false)
            }
        }
    })
