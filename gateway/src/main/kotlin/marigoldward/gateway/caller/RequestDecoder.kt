package marigoldward.gateway.caller

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import marigoldward.core.routes.CallerLimits

/** Decodes HTTP requests; rejects those whose end is ambiguous. */
internal class RequestDecoder(limits: CallerLimits) : HttpRequestDecoder(config(limits)) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the request has both Content-Length and Transfer-Encoding")

    private companion object {
        fun config(limits: CallerLimits): HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes)
            .setMaxHeaderSize(limits.maxHeaderBytes)
            .setAllowDuplicateContentLengths(false)
    }
}
