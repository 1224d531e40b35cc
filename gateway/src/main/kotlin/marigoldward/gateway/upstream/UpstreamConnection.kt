package marigoldward.gateway.upstream

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.Http1Encoder
import marigoldward.gateway.message.ResponseHead
import java.io.IOException

/**
 * One connection to an upstream, which carries one call at a time. Confined to the event loop thread.
 *
 * A response to another request is skipped. One that can't be attributed to a request, or whose end can't be found, ends
 * the call and closes the connection, as do bytes that arrive while there is no call. A call ends at the end of the read
 * that completed its response, so that the connection is not reused before all that was received is decoded.
 */
internal class UpstreamConnection(
    private val upstream: UpstreamId,
    private val channel: UpstreamChannel,
    private val sent: SentRequests,
    private val decoder: ResponseDecoder,
    private val owner: Owner,
) : ChannelInboundHandlerAdapter() {
    /** Keeps the connection while it is idle. */
    interface Owner {
        /** The connection can carry another call. */
        fun onIdle(connection: UpstreamConnection)

        fun onClosed(connection: UpstreamConnection)

        /** A response arrived that bears a request id or, if not [bearsRequestId], should bear one. */
        fun onResponse(bearsRequestId: Boolean)
    }

    private var call: UpstreamCall? = null
    private var isRequestWritten = false
    private var isReusable = true
    private var isSkippingResponse = false
    private var hasResponseHead = false
    private var isResponseComplete = false
    private var hasUnaskedBytes = false
    private var skippedResponses = 0
    private var skippedBytes = 0L

    /** When the connection last became idle, in milliseconds of monotonic time. */
    var idleSinceMillis: Long = 0

    /** How long the upstream keeps the connection open while it is idle, in milliseconds, or null if not announced. */
    var keepAliveMillis: Long? = null
        private set

    val isOpen: Boolean get() = channel.isActive

    /**
     * Whether a response that ends now may be incomplete. One with a length or chunks ends while the channel is active;
     * any other ends with its connection, which must have ended in order.
     */
    private val endsByLostConnection: Boolean get() = !channel.isActive && !channel.hasReachedEnd

    /**
     * Whether the response to [next] will be recognized among late ones to earlier requests.
     *
     * @param isIdCertain whether responses of the upstream are known to bear request ids
     */
    fun canAttribute(next: UpstreamCall, isIdCertain: Boolean): Boolean =
        sent.isEmpty || !sent.hasIdOf(next) && (isIdCertain || next.expectedRequestId == null)

    /** Sends the request of [next]. */
    fun send(next: UpstreamCall) {
        check(call == null) { "the connection to ${next.upstream.id} already carries a call" }
        call = next
        isRequestWritten = false
        isSkippingResponse = false
        hasResponseHead = false
        isResponseComplete = false
        skippedResponses = 0
        skippedBytes = 0
        isReusable = true
        next.attachTo(this)
        sent.add(next)
        val bytes = Http1Encoder.request(channel.alloc(), next.head, next.body)
        channel.writeAndFlush(bytes).addListener { written ->
            if (written.isSuccess && call === next) isRequestWritten = true
        }
    }

    /** Closes the connection without a call to the listener of [carried]. Does nothing unless it carries that call. */
    fun cancel(carried: UpstreamCall) {
        if (call !== carried) return
        letGo(carried)
        channel.close()
    }

    /** Closes the connection; a call that it carries ends with a failure. */
    fun close() {
        channel.close()
        fail(UpstreamFailure.Closed)
    }

    /** Reads the response to [carried] or stops reading it. Does nothing unless the connection carries that call. */
    fun setReading(carried: UpstreamCall, isReading: Boolean) {
        if (call === carried) channel.config().isAutoRead = isReading
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) handle(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (isResponseComplete) {
            finish()
        } else if (call == null && !decoder.isBetweenResponses) {
            onUnasked()
        }
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (isResponseComplete) finish()
        fail(UpstreamFailure.ConnectionLost("the connection closed"))
        owner.onClosed(this)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        val reason = cause.message ?: cause.javaClass.simpleName
        if (isResponseComplete) finish()
        fail(if (cause is IOException) UpstreamFailure.ConnectionLost(reason) else UpstreamFailure.Broken(reason))
        channel.close()
    }

    private fun handle(message: HttpObject) {
        val current = call
        if (current == null || isResponseComplete) {
            onUnasked()
            return
        }
        if (message.decoderResult().isFailure) {
            return breakOff("not an answer: ${message.decoderResult().cause().message}")
        }
        if (message is HttpResponse) onResponseHead(current, message)
        if (message is HttpContent && call === current) onContent(current, message)
    }

    /** Handles bytes that belong to no call; what they are doesn't matter, and the connection ends with them. */
    private fun onUnasked() {
        // What is left of a read after the call was cancelled or has failed is not worth a line.
        if (!hasUnaskedBytes && channel.isActive) recordDropped(DroppedAnswers.Reason.UNASKED, null)
        hasUnaskedBytes = true
        if (call == null) channel.close()
    }

    private fun onResponseHead(current: UpstreamCall, response: HttpResponse) {
        val head = ResponseDecoder.headOf(response)
        if (head.status !in STATUSES) return breakOff("not an answer: status ${head.status}")
        if (head.status in INFORMATIONAL_STATUSES) return skipResponse()
        when (val answered = sent.requestAnsweredBy(head)) {
            AnsweredRequest.Current -> onOwnResponse(current, head)
            is AnsweredRequest.Other -> if (ResponseDecoder.isDelimited(response, answered.isHeadRequest)) {
                recordDropped(DroppedAnswers.Reason.OTHER_REQUEST, answered.requestId)
                skipResponse()
            } else {
                reject(DroppedAnswers.Reason.NOT_DELIMITED, answered.requestId)
            }
            AnsweredRequest.Unknown -> {
                owner.onResponse(bearsRequestId = false)
                reject(DroppedAnswers.Reason.NO_REQUEST_ID, null)
            }
        }
    }

    private fun onOwnResponse(current: UpstreamCall, head: ResponseHead) {
        hasResponseHead = true
        keepAliveMillis = keepAliveMillisOrNull(head.headers) ?: keepAliveMillis
        val isFramed = head.headers.has("Content-Length") || head.headers.has("Transfer-Encoding")
        val isIdentified = sent.isIdentified(head)
        if (current.expectedRequestId != null) owner.onResponse(isIdentified)
        // A late second response to this call could not be told from one to the next.
        isReusable = isFramed && isIdentified && !head.headers.hasToken("Connection", "close")
        current.listener.onHead(head)
    }

    private fun skipResponse() {
        isSkippingResponse = true
        skippedResponses++
        checkSkipped()
    }

    /** Ends the call because what comes next on the connection can't be trusted. */
    private fun reject(reason: DroppedAnswers.Reason, requestId: String?) {
        recordDropped(reason, requestId)
        fail(UpstreamFailure.Broken("answer dropped: ${reason.name.lowercase()}"))
        channel.close()
    }

    private fun recordDropped(reason: DroppedAnswers.Reason, requestId: String?) =
        DroppedAnswers.record(reason, upstream, call?.expectedRequestId, requestId)

    private fun onContent(current: UpstreamCall, content: HttpContent) {
        if (isSkippingResponse) {
            skippedBytes += content.content().readableBytes()
            checkSkipped()
        } else if (content.content().isReadable) {
            current.listener.onData(ByteBufUtil.getBytes(content.content()))
        }
        if (content !is LastHttpContent || call !== current) return
        if (isSkippingResponse) {
            isSkippingResponse = false
        } else if (hasResponseHead) {
            if (endsByLostConnection) {
                fail(UpstreamFailure.ConnectionLost("the connection was reset within the answer"))
            } else {
                isResponseComplete = true
            }
        }
    }

    /** @throws TooLongFrameException if the upstream has sent too much that is no answer to the request */
    private fun checkSkipped() {
        if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBytes > MAX_SKIPPED_BYTES) {
            throw TooLongFrameException("$skippedResponses answers to other requests, $skippedBytes bytes")
        }
    }

    private fun finish() {
        val ended = call ?: return
        letGo(ended)
        isResponseComplete = false
        // An idle connection has to notice that the upstream closes it.
        channel.config().isAutoRead = true
        val isClean = isReusable && isRequestWritten && !hasUnaskedBytes && decoder.isBetweenResponses
        if (isClean && channel.isActive) owner.onIdle(this) else channel.close()
        ended.listener.onEnd()
    }

    /** Ends the call and the connection, because what was received is no answer, for [reason]. */
    private fun breakOff(reason: String) {
        fail(UpstreamFailure.Broken(reason))
        channel.close()
    }

    private fun fail(failure: UpstreamFailure) {
        val current = call ?: return
        letGo(current)
        current.listener.onFailure(failure)
    }

    private fun letGo(ended: UpstreamCall) {
        call = null
        ended.detach()
    }

    private fun keepAliveMillisOrNull(headers: Headers): Long? = headers
        .first("Keep-Alive")
        ?.split(',')
        ?.firstNotNullOfOrNull { it.trim().removePrefix("timeout=").toLongOrNull() }
        ?.let { it * MILLIS_PER_SECOND }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** The statuses of HTTP. The decoder accepts any number. */
        val STATUSES = 100..599
        val INFORMATIONAL_STATUSES = 100..199

        /** Interim answers and late ones to other requests; a sound upstream sends a few. */
        const val MAX_SKIPPED_RESPONSES = 16
        const val MAX_SKIPPED_BYTES = ResponseLimits.MAX_BODY_BYTES.toLong()
    }
}
