package marigoldward.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import marigoldward.core.routes.CallerLimits

/**
 * Decodes HTTP requests; rejects those whose end is ambiguous.
 *
 * @property limits the limits that it applies to heads
 */
internal class RequestDecoder(val limits: CallerLimits) : HttpRequestDecoder(config(limits)) {
    private var hasBegunRequest = false

    /** Whether it holds a part of a request that is not complete, as bytes or as lines that it has decoded. */
    val isWithinRequest: Boolean get() = hasBegunRequest || actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val firstIndex = buffer.readerIndex()
        val decodedCount = out.size
        super.decode(context, buffer, out)
        if (out.size > decodedCount) {
            hasBegunRequest = out.last() !is LastHttpContent
        } else if (!isBlank(buffer, firstIndex)) {
            hasBegunRequest = true
        }
    }

    /** Whether what was read of [buffer] since [firstIndex] is only what may stand before a request line. */
    private fun isBlank(buffer: ByteBuf, firstIndex: Int): Boolean =
        buffer.forEachByte(firstIndex, buffer.readerIndex() - firstIndex) { it in 0..SPACE } < 0

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the request has both Content-Length and Transfer-Encoding")

    private companion object {
        const val SPACE = ' '.code

        fun config(limits: CallerLimits): HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes)
            .setMaxHeaderSize(limits.maxHeaderBytes)
            .setAllowDuplicateContentLengths(false)
    }
}
