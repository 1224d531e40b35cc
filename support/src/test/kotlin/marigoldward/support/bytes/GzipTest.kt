package marigoldward.support.bytes

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPOutputStream
import kotlin.random.Random

private const val MEBIBYTE = 1_048_576

/** Returns [mebibytes] MiB of zeros, compressed. */
private fun zeros(mebibytes: Int): ByteArray {
    val output = ByteArrayOutputStream()
    val part = ByteArray(MEBIBYTE)
    GZIPOutputStream(output).use { gzip -> repeat(mebibytes) { gzip.write(part) } }
    return output.toByteArray()
}

class GzipTest :
    DescribeSpec({
        describe("decompressed content") {
            it("is what was compressed, up to the maximum size") {
                val content = Random(1).nextBytes(1_000)
                Gzip.decompress(Gzip.compress(content), maxBytes = 1_000) shouldBe content
                Gzip.decompress(Gzip.compress(ByteArray(0)), maxBytes = 0) shouldBe ByteArray(0)
            }
            // Guards against a small document that takes all the heap of the process that reads it.
            it("is refused as soon as it is longer than the maximum size") {
                val failure = shouldThrow<IOException> { Gzip.decompress(zeros(512), maxBytes = MEBIBYTE) }
                failure.message shouldContain "longer than $MEBIBYTE bytes"
                shouldThrow<IOException> { Gzip.decompress(Gzip.compress(ByteArray(1_001)), maxBytes = 1_000) }
            }
            it("is refused if it is damaged anywhere") {
                val compressed = Gzip.compress(Random(2).nextBytes(500))
                (0 until compressed.size - 1).forEach { size ->
                    shouldThrow<IOException> { Gzip.decompress(compressed.copyOf(size), MEBIBYTE) }
                }
            }
        }
    })
