package marigoldward.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun holder(heldBytes: Long, stalledMillis: Long) = StalledHolders.Holder(heldBytes, stalledMillis)

private fun victims(vararg holders: StalledHolders.Holder) = StalledHolders.victims(holders.toList(), 500)

class StalledHoldersTest :
    DescribeSpec({
        describe("the connections to close for their memory") {
            // Guards against the end of an ordinary upload that is only larger than others.
            it("are none that still progress") {
                victims(holder(4_000_000, 499), holder(16_000, 0)) shouldBe emptyList()
            }
            // Guards against a crowd that stays while callers that have just stopped are closed.
            it("are those first that hold most for longest") {
                victims(holder(1_000_000, 600), holder(500_000, 10_000), holder(10_000, 20_000)) shouldBe listOf(1)
            }
            it("are as many as hold a quarter of the stalled memory") {
                victims(*Array(8) { holder(100_000, 1_000L + it) }) shouldBe listOf(7, 6)
            }
            it("are none that hold next to nothing") {
                victims(holder(2_000, 60_000)) shouldBe emptyList()
            }
        }
    })
