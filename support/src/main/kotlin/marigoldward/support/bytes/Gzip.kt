package marigoldward.support.bytes

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
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
     * Returns the content of [compressed].
     *
     * @throws java.io.IOException if [compressed] is not valid gzip data
     */
    public fun decompress(compressed: ByteArray): ByteArray =
        GZIPInputStream(ByteArrayInputStream(compressed)).use { it.readBytes() }
}
