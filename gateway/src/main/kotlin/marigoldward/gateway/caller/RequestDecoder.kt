package marigoldward.gateway.caller

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import marigoldward.core.routes.CallerLimits

/**
 * Decodes HTTP requests; rejects those whose end is ambiguous.
 *
 * @property limits the limits that it applies to heads
 */
internal class RequestDecoder(val limits: CallerLimits) : HttpRequestDecoder(config(limits)) {
    /** Whether it keeps bytes that it has not decoded yet. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the request has both Content-Length and Transfer-Encoding")

    private companion object {
        fun config(limits: CallerLimits): HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes)
            .setMaxHeaderSize(limits.maxHeaderBytes)
            .setAllowDuplicateContentLengths(false)
    }
}
