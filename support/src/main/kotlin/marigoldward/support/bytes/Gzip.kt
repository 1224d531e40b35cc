package marigoldward.support.bytes

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Compresses bytes that this system stores and sends between its own processes. */
public object Gzip {
    /** Returns [content] compressed; the same content always gives the same bytes. */
    public fun compress(content: ByteArray): ByteArray {
        val output = ByteArrayOutputStream()
        GZIPOutputStream(output).use { it.write(content) }
        return output.toByteArray()
    }

    /**
     * Returns the content of [compressed].
     *
     * @throws java.io.IOException if [compressed] was not made by [compress]
     */
    public fun decompress(compressed: ByteArray): ByteArray =
        GZIPInputStream(ByteArrayInputStream(compressed)).use { it.readBytes() }
}
