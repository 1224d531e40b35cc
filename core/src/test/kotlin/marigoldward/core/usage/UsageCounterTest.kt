package marigoldward.core.usage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import marigoldward.core.time.ClockReading
import marigoldward.core.workspaces.WorkspaceName

private val SMALL = WorkspaceName.parse("small")
private val LARGE = WorkspaceName.parse("large")

private fun newCounter() = UsageCounter(UsageWindows(5_000))

class UsageCounterTest :
    DescribeSpec({
        describe("a counter of usage") {
            it("counts by window and workspace, and reports totals") {
                val counter = newCounter()
                listOf(0L, 4_999L).forEach { counter.record(SMALL, it) }
                counter.record(LARGE, 5_000)
                val report = counter.report(12_100).report
                report.windows shouldBe listOf(
                    UsageReport.Window(0, mapOf("small" to 2L)),
                    UsageReport.Window(1, mapOf("large" to 1L)),
                )
                report.completeWindow shouldBe 1
                report.isFull shouldBe true
            }
            // Guards against counts that are lost with a message.
            it("reports again what no leader has confirmed, and not what one has") {
                val counter = newCounter()
                counter.record(SMALL, 100)
                counter.report(200)
                counter.onConfirmed(counter.report(300), term = 1, recorded = null)
                val second = counter.report(400)
                second.report.windows.size shouldBe 1
                counter.onConfirmed(second, term = 1, recorded = null)
                counter.report(500).report.windows.shouldBeEmpty()
                counter.report(500).report.isFull shouldBe false
            }
            // Guards against requests that were counted while the report was under way.
            it("reports a window again that has changed since the confirmed report was made") {
                val counter = newCounter()
                counter.onConfirmed(counter.report(0), term = 1, recorded = null)
                counter.record(SMALL, 100)
                val sent = counter.report(200)
                counter.record(SMALL, 210)
                counter.onConfirmed(sent, term = 1, recorded = null)
                counter.report(300).report.windows shouldBe listOf(UsageReport.Window(0, mapOf("small" to 2L)))
            }
            // Guards against a leader that gathered the report in an earlier term and has forgotten it.
            it("reports all windows again to the leader of another term, those that it replied to as well") {
                val counter = newCounter()
                counter.onConfirmed(counter.report(0), term = 1, recorded = null)
                counter.record(SMALL, 100)
                counter.onConfirmed(counter.report(200), term = 1, recorded = null)
                counter.record(SMALL, 5_100)
                counter.onConfirmed(counter.report(5_200), term = 3, recorded = null)
                val report = counter.report(5_300).report
                report.windows.map { it.number } shouldBe listOf(0L, 1L)
                report.isFull shouldBe true
            }
            it("drops recorded windows and counts late requests in them as lost") {
                val counter = newCounter()
                counter.record(SMALL, 100)
                counter.onConfirmed(counter.report(200), term = 1, recorded = 0)
                counter.record(SMALL, 300)
                counter.lostCount shouldBe 1
                counter.report(400).report.windows.shouldBeEmpty()
            }
            it("does not reopen windows if a leader tells an older recorded window") {
                val counter = newCounter()
                counter.onConfirmed(counter.report(0), term = 1, recorded = 9)
                counter.onConfirmed(counter.report(0), term = 2, recorded = 3)
                counter.record(SMALL, 9 * 5_000L)
                counter.lostCount shouldBe 1
            }
            // Guards against memory that grows while no window can be recorded, and after jumps of the clock.
            it("keeps a bounded number of windows, the newest") {
                val counter = newCounter()
                repeat(2_000) { counter.record(SMALL, it * 5_000L) }
                val windows = counter.report(0).report.windows
                windows.size shouldBeLessThanOrEqual 720
                windows.last().number shouldBe 1_999
                counter.lostCount shouldBe 2_000L - windows.size
            }
            // Guards against requests in wrong windows after the clock was set, and before any leader told the time.
            it("holds requests until the true time is known, then counts them in the windows of their beginning") {
                val counter = newCounter()
                counter.hold(SMALL, ClockReading(1_000, 77_000_000))
                counter.hold(SMALL, ClockReading(1_400, 77_000_400))
                counter.report(null).report shouldBe UsageReport(isFull = true)
                counter.releaseHeld(epochMillis = 5_200, nowMillis = 1_500)
                counter.report(5_200).report.windows shouldBe
                    listOf(UsageReport.Window(0, mapOf("small" to 1L)), UsageReport.Window(1, mapOf("small" to 1L)))
            }
            it("counts requests by the time of day that it would hold for more than a minute") {
                val counter = newCounter()
                repeat(1_000) { counter.hold(SMALL, ClockReading(it * 100L, 500_000 + it * 100L)) }
                counter.report(null).report.windows.sumOf { it.counts.getValue("small") } shouldBe 400
            }
            it("counts at times far away and before 1970") {
                val counter = newCounter()
                listOf(-1L, Long.MAX_VALUE, Long.MIN_VALUE).forEach { counter.record(SMALL, it) }
                counter.report(0).report.windows.size shouldBe 3
            }
        }
    })
