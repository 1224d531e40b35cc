package marigoldward.gateway.usage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.model.InstanceId
import marigoldward.core.time.ClockReading
import marigoldward.core.usage.UsageReport
import marigoldward.core.workspaces.Workspace
import marigoldward.core.workspaces.WorkspaceName
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/** An entry whose time of day is wrong by [skewMillis]. */
private class MeteredEntry(var skewMillis: Long) {
    var nowMillis = 1_000L
    val clocks: ClockReading get() = ClockReading(nowMillis, nowMillis + skewMillis)
    val usage = MeteredUsage(5_000) { clocks }

    fun begin() = usage.recordBegun(WORKSPACE, nowMillis)

    fun ask(): Pair<ClockReading, UsageReport> {
        val base = EntryExchangeRequest(InstanceId.parse("10.0.0.1"), 1, 1, clocks.epochMillis)
        return clocks to checkNotNull(usage.addTo(base).usage)
    }

    /** Gets the leader's reply at once; the true time is monotonic time here. */
    fun reply(askedAt: ClockReading) =
        usage.onReply(EntryExchangeReply(true, leaderTerm = 1, epochMillis = nowMillis), askedAt)

    companion object {
        val WORKSPACE = Workspace(WorkspaceName.parse("small"), keys = emptySet(), priority = null)
    }
}

private fun window(number: Long, count: Long) = UsageReport.Window(number, mapOf("small" to count))

class MeteredUsageTest :
    DescribeSpec({
        describe("the usage of an entry") {
            // Guards against windows by a clock that is wrong, at the start and after it was set.
            it("is counted by the leader's time only") {
                val entry = MeteredEntry(skewMillis = 77_000)
                entry.begin()
                entry.ask().let { (askedAt, report) ->
                    report.windows shouldBe emptyList()
                    report.completeWindow.shouldBeNull()
                    entry.reply(askedAt)
                }
                entry.skewMillis = -500_000
                entry.nowMillis = 6_000
                entry.begin()
                entry.ask().let { (askedAt, report) ->
                    report.windows shouldBe listOf(window(0, 1))
                    entry.reply(askedAt)
                }
                entry.ask().second.windows shouldBe listOf(window(1, 1))
            }
            // Guards against counts that no leader has: a reply that comes late answers an earlier request.
            it("is not confirmed by the reply to an earlier request") {
                val entry = MeteredEntry(skewMillis = 0)
                entry.reply(entry.ask().first)
                val early = entry.ask().first
                entry.nowMillis += 1_000
                entry.begin()
                entry.ask()
                entry.reply(early)
                entry.nowMillis += 1_000
                val (askedAt, report) = entry.ask()
                report.windows shouldBe listOf(window(0, 1))
                entry.reply(askedAt)
                entry.ask().second.windows shouldBe emptyList()
            }
        }
    })
