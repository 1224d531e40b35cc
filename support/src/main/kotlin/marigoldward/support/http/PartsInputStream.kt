package marigoldward.support.http

import java.io.InputStream

/** An input stream whose bytes are produced in parts: the next part is requested once the current one has been read. */
public abstract class PartsInputStream : InputStream() {
    private var part = ByteArray(0)
    private var offset = 0

    /** Blocks until there is another part and returns it, or returns null at the end. */
    protected abstract fun nextPartOrNull(): ByteArray?

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(buffer: ByteArray, start: Int, length: Int): Int {
        if (offset == part.size) {
            part = nextPartOrNull() ?: return -1
            offset = 0
        }
        val count = minOf(length, part.size - offset)
        part.copyInto(buffer, start, offset, offset + count)
        offset += count
        return count
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
