package marigoldward.gateway.message

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.HttpResponseStatus
import java.nio.charset.StandardCharsets

/** Encodes HTTP/1.1 messages. Heads are encoded in ISO 8859-1, which restores the bytes that were received. */
internal object Http1Encoder {
    private const val INITIAL_HEAD_CHARACTERS = 512
    private val BODILESS_METHODS = setOf("GET", "HEAD", "DELETE", "OPTIONS", "TRACE")

    /** Encodes a request. `Content-Length` is omitted for an empty [body] if the method usually has none. */
    fun request(allocator: ByteBufAllocator, head: RequestHead, body: ByteArray): ByteBuf {
        val text = StringBuilder(INITIAL_HEAD_CHARACTERS)
        text.append(head.method).append(' ').append(head.target).append(" HTTP/1.1\r\n")
        appendHeaders(text, head.headers)
        val hasLength = body.isNotEmpty() || head.method !in BODILESS_METHODS
        if (hasLength) text.append("Content-Length: ").append(body.size).append("\r\n")
        return encode(allocator, text.append("\r\n"), body)
    }

    /** Encodes the head of a response; [framing] is the header line that delimits the body, or null for none. */
    fun responseHead(allocator: ByteBufAllocator, head: ResponseHead, framing: String?): ByteBuf {
        val text = StringBuilder(INITIAL_HEAD_CHARACTERS)
        text.append("HTTP/1.1 ").append(HttpResponseStatus.valueOf(head.status)).append("\r\n")
        appendHeaders(text, head.headers)
        if (framing != null) text.append(framing).append("\r\n")
        return encode(allocator, text.append("\r\n"), ByteArray(0))
    }

    /** Encodes the interim response that asks a caller to send the body of its request. */
    fun continueResponse(allocator: ByteBufAllocator): ByteBuf =
        encode(allocator, "HTTP/1.1 100 Continue\r\n\r\n", ByteArray(0))

    /** Encodes one chunk of a chunked body. */
    fun chunk(allocator: ByteBufAllocator, data: ByteArray): ByteBuf {
        val size = Integer.toHexString(data.size)
        val buffer = allocator.buffer(data.size + size.length + 2 * CRLF.size)
        buffer.writeCharSequence(size, StandardCharsets.ISO_8859_1)
        return buffer.writeBytes(CRLF).writeBytes(data).writeBytes(CRLF)
    }

    /** Encodes the end of a chunked body. */
    fun lastChunk(allocator: ByteBufAllocator): ByteBuf = allocator.buffer(LAST_CHUNK.size).writeBytes(LAST_CHUNK)

    private fun appendHeaders(text: StringBuilder, headers: Headers) {
        headers.entries.forEach { text.append(it.name).append(": ").append(it.value).append("\r\n") }
    }

    private fun encode(allocator: ByteBufAllocator, head: CharSequence, body: ByteArray): ByteBuf {
        val buffer = allocator.buffer(head.length + body.size)
        buffer.writeCharSequence(head, StandardCharsets.ISO_8859_1)
        return buffer.writeBytes(body)
    }

    private val CRLF = byteArrayOf('\r'.code.toByte(), '\n'.code.toByte())
    private val LAST_CHUNK = "0\r\n\r\n".toByteArray(StandardCharsets.ISO_8859_1)
}
