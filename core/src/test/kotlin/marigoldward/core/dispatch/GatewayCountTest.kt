package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val HEARTBEAT_MILLIS = 500L

/** A gateway that gets reports at each heartbeat. */
private class CountingGateway {
    private val number = GatewayCount()
    private var nowMillis = 0L

    val count: Int get() = number.count

    fun report(gateways: Int, forMillis: Long = HEARTBEAT_MILLIS, isFresh: Boolean = true) {
        repeat((forMillis / HEARTBEAT_MILLIS).toInt()) {
            nowMillis += HEARTBEAT_MILLIS
            number.report(gateways, isFresh, nowMillis)
        }
    }

    fun pass(millis: Long) {
        nowMillis += millis
    }
}

class GatewayCountTest :
    DescribeSpec({
        fun informed(gateways: Int) = CountingGateway().apply { report(gateways, forMillis = 4_000) }

        describe("the number of gateways") {
            // Guards against a gateway that takes too small a share for seconds after each of its starts.
            it("is the one for an unknown number until fresh state was reported for a second, and then as reported") {
                val gateway = CountingGateway()
                gateway.report(1, forMillis = 1_000, isFresh = false)
                gateway.report(6, forMillis = 1_000)
                gateway.count shouldBe GatewayCount.UNKNOWN_COUNT
                gateway.report(6)
                gateway.count shouldBe 6
            }
            // Guards against gateways that start together and each take the share of all until they are counted.
            it("is at first the largest that was reported within a second") {
                val gateway = CountingGateway()
                val counts = listOf(1, 3, 2, 2).map { reported -> gateway.apply { report(reported) }.count }
                counts shouldBe listOf(GatewayCount.UNKNOWN_COUNT, GatewayCount.UNKNOWN_COUNT, 3, 3)
            }
            // Guards against each of several gateways taking itself for the only one while control has no leader.
            it("stays while an instance without fresh state reports a smaller one") {
                val gateway = informed(6)
                gateway.report(1, forMillis = 60_000, isFresh = false)
                gateway.count shouldBe 6
            }
            // Guards against a larger share for each gateway while some of them look for another control instance.
            it("stays while gateways that have lost their instance are counted again") {
                val gateway = informed(6)
                listOf(1, 2, 4, 5, 5, 6).forEach { gateway.report(it) }
                gateway.count shouldBe 6
            }
            it("falls to the largest that was reported from fresh state throughout the hold time") {
                val gateway = informed(6)
                gateway.report(3)
                gateway.report(4)
                gateway.report(3, forMillis = 2_500)
                gateway.count shouldBe 4
            }
            it("does not fall after reports that are too far apart, or of which some were not fresh") {
                val gateway = informed(6)
                gateway.report(5, forMillis = 2_000)
                gateway.pass(3_000)
                gateway.report(5, forMillis = 2_000)
                gateway.report(5, isFresh = false)
                gateway.report(5, forMillis = 3_000)
                gateway.count shouldBe 6
            }
            it("rises at once, also by a report from state that is not fresh") {
                val gateway = informed(6)
                gateway.report(7)
                gateway.count shouldBe 7
                gateway.report(9, isFresh = false)
                gateway.count shouldBe 9
            }
        }
    })
