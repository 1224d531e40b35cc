package marigoldward.gateway.caller

import io.netty.buffer.ByteBuf

/** Counts the bytes and lines of one request head while it is received, before it is decoded. */
internal class HeadScan {
    private var lineBytes = 0

    /** The number of lines counted, without the blank ones before the request line. */
    var lines: Int = 0
        private set

    /** Whether the blank line at the end was counted. */
    var isComplete: Boolean = false
        private set

    /** Counts the bytes of [buffer] from [index] to the end of the head, and returns the index after the last of them. */
    fun count(buffer: ByteBuf, index: Int): Int {
        var next = index
        while (next < buffer.writerIndex() && !isComplete) count(buffer.getByte(next++).toInt())
        return next
    }

    private fun count(byte: Int) {
        when {
            byte == LINE_FEED && lineBytes > 0 -> {
                lines++
                lineBytes = 0
            }
            byte == LINE_FEED -> isComplete = lines > 0
            // What may stand before a request line is skipped by the decoder.
            lines == 0 && lineBytes == 0 && byte in 0..SPACE -> Unit
            byte != CARRIAGE_RETURN -> lineBytes++
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code
        const val CARRIAGE_RETURN = '\r'.code
        const val SPACE = ' '.code
    }
}
