package marigoldward.gateway.message

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.HttpResponseStatus
import java.nio.charset.StandardCharsets

/** Writes messages as HTTP/1.1 text. Every character of a head becomes one byte, as it came. */
internal object HttpText {
    private const val HEAD_BYTES = 512
    private val BODILESS_METHODS = setOf("GET", "HEAD", "DELETE", "OPTIONS", "TRACE")

    /** Returns [head] with [body]; a method that has no body by itself gets no length for an empty one. */
    fun request(allocator: ByteBufAllocator, head: RequestHead, body: ByteArray): ByteBuf {
        val text = StringBuilder(HEAD_BYTES)
        text.append(head.method).append(' ').append(head.target).append(" HTTP/1.1\r\n")
        appendHeaders(text, head.headers)
        val hasLength = body.isNotEmpty() || head.method !in BODILESS_METHODS
        if (hasLength) text.append("Content-Length: ").append(body.size).append("\r\n")
        return bytes(allocator, text.append("\r\n"), body)
    }

    /** Returns the head of an answer; [framing] is the header line that says where its body ends. */
    fun answerHead(allocator: ByteBufAllocator, head: AnswerHead, framing: String?): ByteBuf {
        val text = StringBuilder(HEAD_BYTES)
        text.append("HTTP/1.1 ").append(HttpResponseStatus.valueOf(head.status)).append("\r\n")
        appendHeaders(text, head.headers)
        if (framing != null) text.append(framing).append("\r\n")
        return bytes(allocator, text.append("\r\n"), ByteArray(0))
    }

    /** Returns the interim answer that lets a caller send its body. */
    fun continued(allocator: ByteBufAllocator): ByteBuf =
        bytes(allocator, "HTTP/1.1 100 Continue\r\n\r\n", ByteArray(0))

    /** Returns one chunk of a body in chunks. */
    fun chunk(allocator: ByteBufAllocator, data: ByteArray): ByteBuf {
        val size = Integer.toHexString(data.size)
        val buffer = allocator.buffer(data.size + size.length + 2 * LINE_END.size)
        buffer.writeCharSequence(size, StandardCharsets.ISO_8859_1)
        return buffer.writeBytes(LINE_END).writeBytes(data).writeBytes(LINE_END)
    }

    /** Returns the end of a body in chunks. */
    fun lastChunk(allocator: ByteBufAllocator): ByteBuf = allocator.buffer(LAST_CHUNK.size).writeBytes(LAST_CHUNK)

    private fun appendHeaders(text: StringBuilder, headers: Headers) {
        headers.entries.forEach { text.append(it.name).append(": ").append(it.value).append("\r\n") }
    }

    private fun bytes(allocator: ByteBufAllocator, head: CharSequence, body: ByteArray): ByteBuf {
        val buffer = allocator.buffer(head.length + body.size)
        buffer.writeCharSequence(head, StandardCharsets.ISO_8859_1)
        return buffer.writeBytes(body)
    }

    private val LINE_END = byteArrayOf('\r'.code.toByte(), '\n'.code.toByte())
    private val LAST_CHUNK = "0\r\n\r\n".toByteArray(StandardCharsets.ISO_8859_1)
}
