package marigoldward.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import java.io.ByteArrayOutputStream

/**
 * The body of a request while it is received, and its share of [memory] until the end of the request.
 *
 * @param headBytes what the head takes of the memory; freed with the body
 */
internal class ReceivedBody(private val memory: RequestMemory, private var headBytes: Long) {
    private var buffer = ByteArrayOutputStream(0)
    private var heldBytes = 0L

    /** What the head and the body take of the memory, in bytes. */
    val takenBytes: Long get() = heldBytes + headBytes

    /** The number of bytes received, also of those that were dropped. */
    var receivedBytes: Int = 0
        private set

    /** Whether the body was dropped, as there was no memory for it. */
    var isDropped: Boolean = false
        private set

    /** Adds [data], or drops the whole body if there is no memory for it. */
    fun add(data: ByteBuf) {
        val bytes = data.readableBytes()
        receivedBytes += bytes
        if (isDropped) return
        if (memory.tryHold(bytes)) {
            heldBytes += bytes
            buffer.writeBytes(ByteBufUtil.getBytes(data))
        } else {
            isDropped = true
            releaseBody()
        }
    }

    /** Returns the body, which is empty if it was dropped, and frees the buffer that it was received in. */
    fun take(): ByteArray = buffer.toByteArray().also { buffer = ByteArrayOutputStream(0) }

    /** Frees the share of the memory. Called when the request has ended. */
    fun release() {
        releaseBody()
        memory.releaseHead(headBytes)
        headBytes = 0
    }

    private fun releaseBody() {
        buffer = ByteArrayOutputStream(0)
        memory.release(heldBytes)
        heldBytes = 0
    }
}
