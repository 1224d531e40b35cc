package marigoldward.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

private const val HEAP_BYTES = 96L * 1_048_576

class CallerBoundsTest :
    DescribeSpec({
        describe("the default bounds of an entry") {
            // Guards against a bound that leaves no descriptors for upstreams, or few for callers.
            it("keep descriptors back on the smallest and the largest machine") {
                CallerBounds.of(HEAP_BYTES, 2_212).maxConnections shouldBe 2_212 - 553
                CallerBounds.of(HEAP_BYTES, 4_100).maxConnections shouldBe 4_100 - 1_025
                CallerBounds.of(HEAP_BYTES, 10_250).maxConnections shouldBe 10_250 - 2_562
                CallerBounds.of(HEAP_BYTES, 300).maxConnections shouldBe 100
            }
            // Guards against the refusal of a single request that is within the limits on heads and bodies.
            it("take a head of 16,384 bytes in the shortest fields, and a body of 4 MiB") {
                val bounds = CallerBounds.of(HEAP_BYTES, 2_212)
                bounds.maxHeadFields shouldBeGreaterThanOrEqual 16_384 / "a:\r\n".length
                bounds.bodyBytes shouldBeGreaterThanOrEqual 4_194_304
            }
        }
    })
