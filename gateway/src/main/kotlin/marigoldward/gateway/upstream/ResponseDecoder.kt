package marigoldward.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import marigoldward.gateway.message.Header
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.MessageLines
import marigoldward.gateway.message.ResponseHead
import marigoldward.support.http.HttpGrammar

/**
 * Decodes the HTTP responses to the requests of [sent]; those to a `HEAD` request have no body, whatever their headers
 * announce. A response with a malformed line, in its head, before a chunk or among its trailers, is decoded as a failure,
 * and nothing is decoded after it.
 */
internal class ResponseDecoder(private val sent: SentRequests) : HttpResponseDecoder(CONFIG) {
    /** Whether all bytes that were received belong to responses that are complete. */
    var isBetweenResponses: Boolean = true
        private set

    private val lines = MessageLines(HttpGrammar::statusLineProblemOrNull)
    private var hasLines = true
    private var isFailed = false

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isFailed) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        val firstIndex = buffer.readerIndex()
        val decodedCount = out.size
        super.decode(context, buffer, out)
        val decoded = out.subList(decodedCount, out.size)
        val problem = if (hasLines) lines.problemOrNull(buffer, firstIndex, buffer.readerIndex()) else null
        if (problem == null) followMessage(decoded) else fail(problem, decoded)
        isBetweenResponses = out.lastOrNull() is LastHttpContent && !buffer.isReadable
    }

    /** Notes what comes next on the connection after [decoded]. */
    private fun followMessage(decoded: List<Any>) {
        val head = decoded.firstOrNull { it is HttpMessage } as HttpMessage?
        when {
            decoded.lastOrNull() is LastHttpContent -> hasLines = true
            head != null && HttpUtil.isTransferEncodingChunked(head) -> lines.beginChunks()
            head != null -> hasLines = false
        }
    }

    private fun fail(problem: String, decoded: MutableList<Any>) {
        isFailed = true
        decoded.forEach(ReferenceCountUtil::release)
        decoded.clear()
        val failure = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY)
        failure.decoderResult = DecoderResult.failure(IllegalArgumentException(problem))
        decoded.add(failure)
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
