package marigoldward.core.routes

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.zip.Deflater
import java.util.zip.GZIPOutputStream

private const val MEBIBYTE = 1_048_576

private class LevelledGzip(output: OutputStream, level: Int) : GZIPOutputStream(output) {
    init {
        def.setLevel(level)
    }
}

/** Returns a document of [mebibytes] MiB of zeros, compressed at [level]. */
private fun document(mebibytes: Int, level: Int): RouteDocument {
    val output = ByteArrayOutputStream()
    val part = ByteArray(MEBIBYTE)
    LevelledGzip(output, level).use { gzip -> repeat(mebibytes) { gzip.write(part) } }
    return RouteDocument(1, output.toByteArray())
}

class RouteDocumentTest :
    DescribeSpec({
        describe("documents of one version") {
            it("have the same content whatever compressed it") {
                val fast = document(16, Deflater.BEST_SPEED)
                val small = document(16, Deflater.BEST_COMPRESSION)
                (fast == small) shouldBe false
                fast.hasSameContentAs(small) shouldBe true
                fast.hasSameContentAs(document(15, Deflater.BEST_SPEED)) shouldBe false
            }
            // Guards against a document that takes all the heap of a replica that compares it, at each start again.
            it("are not compared beyond the maximum size of their content") {
                document(21, Deflater.BEST_SPEED)
                    .hasSameContentAs(document(21, Deflater.BEST_COMPRESSION)) shouldBe false
            }
        }
    })
