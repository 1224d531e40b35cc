package marigoldward.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Decodes HTTP responses; those to a `HEAD` request have no body, whatever their headers announce. */
internal class ResponseDecoder : HttpResponseDecoder(CONFIG) {
    /** Whether the current request is a `HEAD` request. */
    var isHeadRequest: Boolean = false

    /** Whether all bytes that were received belong to responses that are complete. */
    var isBetweenResponses: Boolean = true
        private set

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(context, buffer, out)
        isBetweenResponses = out.lastOrNull() is LastHttpContent && !buffer.isReadable
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the answer has both a length and chunks")

    private companion object {
        const val MAX_LINE_BYTES = 8_192
        const val MAX_HEADER_BYTES = 32_768
        val CONFIG: HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setValidateHeaders(false)
    }
}
