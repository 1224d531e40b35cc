package marigoldward.core.usage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private fun estimatorOf(vararg errors: Long): TrueTimeEstimator =
    errors.foldIndexed(TrueTimeEstimator.EMPTY) { id, estimator, error ->
        estimator.withSample(id.toLong(), 1_000_000 + error, receivedMillis = 500)
    }

class TrueTimeEstimatorTest :
    DescribeSpec({
        describe("the true time") {
            it("is not known without samples") {
                TrueTimeEstimator.EMPTY.epochMillisOrNull(0).shouldBeNull()
            }
            it("advances with monotonic time") {
                estimatorOf(0).epochMillisOrNull(750) shouldBe 1_000_250
            }
            // Guards against a few clocks that are wrong by far, as an average would follow them.
            it("is right while fewer than half of the clocks are wrong by any amount") {
                estimatorOf(0, 0, 0, Long.MAX_VALUE / 2, -900_000).epochMillisOrNull(500) shouldBe 1_000_000
                estimatorOf(0, 0, 0, Long.MAX_VALUE, Long.MIN_VALUE).epochMillisOrNull(500) shouldBe 1_000_000
            }
            it("takes the last sample of a process whose clock was set") {
                estimatorOf(0, 0, 7_000).withSample(2, 1_000_000, 500).withSample(1, 1_000_000, 500)
                    .epochMillisOrNull(500) shouldBe 1_000_000
            }
            it("forgets processes that are no longer heard of") {
                estimatorOf(9_000, 9_000, 9_000).withSample(7, 1_020_000, receivedMillis = 20_500)
                    .epochMillisOrNull(20_500) shouldBe 1_020_000
            }
        }
    })
