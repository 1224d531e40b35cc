package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe

private const val WINDOW_MILLIS = 10_000L
private const val HEARTBEAT_MILLIS = 500L

/** A gateway that gets reports at each heartbeat. */
private class ReportedGateway(startedMillis: Long = 0) {
    val sharers = BudgetSharers(WINDOW_MILLIS, startedMillis)
    var nowMillis = startedMillis
        private set

    val count: Int get() = sharers.count(nowMillis)

    fun report(gateways: Int, forMillis: Long, isFresh: Boolean = true) {
        val endMillis = nowMillis + forMillis
        while (nowMillis < endMillis) {
            nowMillis += HEARTBEAT_MILLIS
            sharers.report(gateways, isFresh, nowMillis)
        }
    }

    fun pass(millis: Long) {
        nowMillis += millis
    }
}

class BudgetSharersTest :
    DescribeSpec({
        describe("a gateway that has just started") {
            // Guards against a restarted gateway spending again what its predecessor has spent in the same window.
            it("takes the share of an unknown number for a window, then that of the largest number reported") {
                val gateway = ReportedGateway()
                gateway.count shouldBe BudgetSharers.UNKNOWN_COUNT
                gateway.report(1, forMillis = 2_000)
                gateway.report(6, forMillis = 2_000)
                gateway.report(5, forMillis = 6_000)
                gateway.count shouldBe BudgetSharers.UNKNOWN_COUNT
                gateway.report(5, forMillis = 2_000)
                gateway.count shouldBe 6
            }
            it("uses a number above the one for an unknown number at once") {
                val gateway = ReportedGateway()
                gateway.report(40, HEARTBEAT_MILLIS)
                gateway.count shouldBe 40
            }
        }

        describe("a gateway that knows the number") {
            fun informed(gateways: Int) = ReportedGateway().apply { report(gateways, forMillis = 12_000) }

            // Guards against gateways that divide the slack by one, two and three after a restart of control.
            it("keeps it while control instances that have just started report smaller ones") {
                val gateway = informed(6)
                gateway.pass(2_000)
                listOf(1, 2, 3, 5).forEach { gateway.report(it, forMillis = 1_000) }
                gateway.count shouldBe 6
                gateway.report(6, forMillis = 30_000)
                gateway.count shouldBe 6
            }
            it("uses a larger one at once, also of an instance without fresh state") {
                val gateway = informed(6)
                gateway.report(7, HEARTBEAT_MILLIS)
                gateway.count shouldBe 7
                gateway.report(8, HEARTBEAT_MILLIS, isFresh = false)
                gateway.count shouldBe 8
            }
            it("uses a smaller one after it has been reported from fresh state for two windows") {
                val gateway = informed(6)
                gateway.report(5, forMillis = 20_000)
                gateway.count shouldBe 6
                gateway.report(5, forMillis = 3_000)
                gateway.count shouldBe 5
            }
            it("does not use a smaller one that has not been reported throughout") {
                val gateway = informed(6)
                gateway.report(5, forMillis = 15_000)
                gateway.pass(4_000)
                gateway.report(5, forMillis = 15_000)
                gateway.report(5, HEARTBEAT_MILLIS, isFresh = false)
                gateway.report(5, forMillis = 15_000)
                gateway.count shouldBe 6
            }
        }

        describe("gateways of which some are cut off from control") {
            // Guards against the cut-off ones keeping the share that the others divide among themselves.
            // A tenth above the whole is less than the part of the budget that gateways leave unused.
            it("use shares that add up to the whole, or a tenth more, within a window") {
                val informed = ReportedGateway().apply { report(6, forMillis = 12_000) }
                val cutOff = ReportedGateway().apply { report(6, forMillis = 12_000) }
                repeat(120) {
                    informed.report(3, HEARTBEAT_MILLIS)
                    cutOff.report(3, HEARTBEAT_MILLIS, isFresh = false)
                    // What the cut-off ones took within the last window counts with what the others may take now.
                    val cutOffBefore = cutOff.sharers.count(maxOf(12_000, cutOff.nowMillis - WINDOW_MILLIS))
                    3.0 / informed.count + 3.0 / cutOffBefore shouldBeLessThanOrEqualTo 1.1
                }
                informed.count shouldBe 3
            }
        }
    })
