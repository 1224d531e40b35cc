package marigoldward.support.bytes

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Gzip compression for data that is stored or sent between the processes of this system. */
public object Gzip {
    /** Returns [content] compressed. Equal content always gives equal bytes. */
    public fun compress(content: ByteArray): ByteArray {
        val output = ByteArrayOutputStream()
        GZIPOutputStream(output).use { it.write(content) }
        return output.toByteArray()
    }

    /**
     * Returns the content of [compressed]. Stops to decompress as soon as the content is longer than [maxBytes].
     *
     * @throws IOException if [compressed] is not valid gzip data or its content is longer than [maxBytes]
     * @throws IllegalArgumentException if [maxBytes] is negative or [Int.MAX_VALUE]
     */
    public fun decompress(compressed: ByteArray, maxBytes: Int): ByteArray {
        require(maxBytes in 0..<Int.MAX_VALUE) { "maxBytes is $maxBytes" }
        val content = GZIPInputStream(ByteArrayInputStream(compressed)).use { it.readNBytes(maxBytes + 1) }
        if (content.size > maxBytes) throw IOException("the content is longer than $maxBytes bytes")
        return content
    }
}
