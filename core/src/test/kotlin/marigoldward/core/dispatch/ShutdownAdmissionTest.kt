package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun ShutdownAdmission.admitsOnRoute(
    remainingMillis: Long,
    untilExitMillis: Long,
    acceptsEstimate: Boolean = true,
    nowMillis: Long = 0,
): Boolean = admits("r", remainingMillis, untilExitMillis, acceptsEstimate, nowMillis)

class ShutdownAdmissionTest :
    DescribeSpec({
        describe("a gateway that shuts down") {
            it("takes a request whose deadline passes before it exits") {
                ShutdownAdmission().admitsOnRoute(900, 1_000, nowMillis = 0) shouldBe true
            }
            it("refuses a request with a later deadline if no request of the route has ended") {
                val admission = ShutdownAdmission()
                admission.recordEnd("other", 10, nowMillis = 0)
                admission.admitsOnRoute(1_100, 1_000, nowMillis = 0) shouldBe false
            }
            it("takes a request with a later deadline if all recent ones of the route were much shorter") {
                val admission = ShutdownAdmission()
                listOf(100L, 400, 200).forEach { admission.recordEnd("r", it, nowMillis = 0) }
                admission.admitsOnRoute(5_000, 1_000, nowMillis = 10) shouldBe true
                admission.admitsOnRoute(5_000, 500, nowMillis = 10) shouldBe false
            }
            it("counts the longest request of the last ten seconds, and none that ended over twenty seconds ago") {
                val admission = ShutdownAdmission()
                admission.recordEnd("r", 3_000, nowMillis = 0)
                admission.recordEnd("r", 100, nowMillis = 9_000)
                admission.admitsOnRoute(5_000, 1_000, nowMillis = 9_500) shouldBe false
                admission.recordEnd("r", 100, nowMillis = 21_000)
                admission.admitsOnRoute(5_000, 1_000, nowMillis = 21_000) shouldBe true
                admission.admitsOnRoute(5_000, 1_000, nowMillis = 60_000) shouldBe false
            }
            // A request that outlasted the estimate was cut off when the gateway ended.
            it("refuses a request with a later deadline if only the estimate is in time and that isn't accepted") {
                val admission = ShutdownAdmission()
                admission.recordEnd("r", 10, nowMillis = 0)
                admission.admitsOnRoute(5_000, 4_000, acceptsEstimate = false) shouldBe false
                admission.admitsOnRoute(4_000, 4_000, acceptsEstimate = false) shouldBe true
            }
            it("forgets routes that are no longer configured") {
                val admission = ShutdownAdmission()
                admission.recordEnd("r", 100, nowMillis = 0)
                admission.retainRoutes(setOf("s"))
                admission.admitsOnRoute(5_000, 1_000, nowMillis = 0) shouldBe false
            }
        }
    })
