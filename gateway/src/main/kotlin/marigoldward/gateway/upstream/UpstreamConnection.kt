package marigoldward.gateway.upstream

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.AnswerHead
import marigoldward.gateway.message.Header
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.HttpText

/**
 * One connection to an upstream, which carries one call at a time. Used by the loop's thread only.
 *
 * An answer to another request is skipped; bytes that come while no call is under way close the connection.
 */
internal class UpstreamConnection(
    private val channel: Channel,
    private val decoder: AnswerDecoder,
    private val dialect: Dialect,
    private val onIdle: (UpstreamConnection) -> Unit,
    private val onClosed: (UpstreamConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var call: UpstreamCall? = null
    private var isWritten = false
    private var isReusable = true
    private var isSkipping = false
    private var hasHead = false

    /** When it last became idle, in milliseconds of monotonic time. */
    var idleSinceMillis: Long = 0

    /** How long the upstream keeps it while it is idle, in milliseconds, or null if the upstream does not say. */
    var keepAliveMillis: Long? = null
        private set

    /** Whether it can carry a call. */
    val isOpen: Boolean get() = channel.isActive

    /** Sends the request of [next]. */
    fun carry(next: UpstreamCall) {
        check(call == null) { "a connection to ${next.upstream.id} carries a call already" }
        call = next
        isWritten = false
        isSkipping = false
        hasHead = false
        isReusable = true
        next.carriedBy(this)
        decoder.isHeadRequest = next.head.method == "HEAD"
        val bytes = HttpText.request(channel.alloc(), next.head, next.body)
        channel.writeAndFlush(bytes).addListener { written ->
            if (written.isSuccess && call === next) isWritten = true
        }
    }

    /** Closes it; a call under way is told nothing more. */
    fun close() {
        call = null
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) handle(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("the connection closed")
        onClosed(this)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(cause.message ?: cause.javaClass.simpleName)
        channel.close()
    }

    private fun handle(message: HttpObject) {
        val current = call
        if (current == null) {
            channel.close()
            return
        }
        if (message.decoderResult().isFailure) {
            fail("not an answer: ${message.decoderResult().cause().message}")
            channel.close()
            return
        }
        if (message is HttpResponse) headCame(current, message)
        if (message is HttpContent && call === current) contentCame(current, message)
    }

    private fun headCame(current: UpstreamCall, response: HttpResponse) {
        val head = AnswerHead(response.status().code(), Headers(response.headers().map { Header(it.key, it.value) }))
        val id = dialect.readAnswer(head).requestId
        isSkipping = head.status in INFORMATIONAL || isOther(id, current)
        if (isSkipping) return
        hasHead = true
        keepAliveMillis = keepAlive(head.headers) ?: keepAliveMillis
        val isFramed = head.headers.has("Content-Length") || head.headers.has("Transfer-Encoding")
        isReusable = isFramed && !head.headers.hasToken("Connection", "close")
        current.listener.onHead(head)
    }

    private fun isOther(id: String?, current: UpstreamCall): Boolean =
        id != null && current.expectedId != null && id != current.expectedId

    private fun contentCame(current: UpstreamCall, content: HttpContent) {
        if (!isSkipping && content.content().isReadable) {
            current.listener.onData(ByteBufUtil.getBytes(content.content()))
        }
        if (content !is LastHttpContent || call !== current) return
        if (isSkipping) {
            isSkipping = false
        } else if (hasHead) {
            finish(current)
        }
    }

    private fun finish(current: UpstreamCall) {
        call = null
        if (isReusable && isWritten && channel.isActive) onIdle(this) else channel.close()
        current.listener.onEnd()
    }

    private fun fail(reason: String) {
        val current = call ?: return
        call = null
        current.listener.onFailure(UpstreamFailure.Broken(reason))
    }

    private fun keepAlive(headers: Headers): Long? = headers
        .first("Keep-Alive")
        ?.split(',')
        ?.firstNotNullOfOrNull { it.trim().removePrefix("timeout=").toLongOrNull() }
        ?.let { it * MILLIS_PER_SECOND }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        val INFORMATIONAL = 100..199
    }
}
