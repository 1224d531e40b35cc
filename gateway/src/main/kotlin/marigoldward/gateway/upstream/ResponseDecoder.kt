package marigoldward.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import marigoldward.gateway.message.Header
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.ResponseHead

/**
 * Decodes the HTTP responses to the requests of [sent]; those to a `HEAD` request have no body, whatever their headers
 * announce.
 */
internal class ResponseDecoder(private val sent: SentRequests) : HttpResponseDecoder(CONFIG) {
    /** Whether all bytes that were received belong to responses that are complete. */
    var isBetweenResponses: Boolean = true
        private set

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(context, buffer, out)
        isBetweenResponses = out.lastOrNull() is LastHttpContent && !buffer.isReadable
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = super.isContentAlwaysEmpty(message) ||
        sent.hasHeadRequest &&
        message is HttpResponse &&
        sent.isResponseToHead(headOf(message))

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the answer has both a length and chunks")

    companion object {
        /** Returns the status and the headers of [response]. */
        fun headOf(response: HttpResponse): ResponseHead =
            ResponseHead(response.status().code(), Headers(response.headers().map { Header(it.key, it.value) }))

        /** Whether the end of a decoded [response] follows from its head. */
        fun isDelimited(response: HttpResponse, isBodyless: Boolean): Boolean = isBodyless ||
            response.status().code() in BODYLESS_STATUSES ||
            HttpUtil.isContentLengthSet(response) ||
            HttpUtil.isTransferEncodingChunked(response)

        private val BODYLESS_STATUSES = setOf(204, 304)
        private const val MAX_LINE_BYTES = 8_192
        private const val MAX_HEADER_BYTES = 32_768
        private val CONFIG: HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setValidateHeaders(false)
    }
}
