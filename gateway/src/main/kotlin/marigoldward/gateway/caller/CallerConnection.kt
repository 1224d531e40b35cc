package marigoldward.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import marigoldward.core.serving.StalledHolders
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.message.Header
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.Http1Encoder
import marigoldward.gateway.message.RequestHead
import marigoldward.gateway.message.ResponseHead
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.TimeUnit

/**
 * One connection of a caller, whose requests are handled one after the other. Confined to the event loop thread.
 *
 * @param server the server that accepted the connection; provides the limits and handles the requests
 */
internal class CallerConnection(private val server: CallerServer) :
    ChannelInboundHandlerAdapter(),
    RequestMemory.Holder {
    /** The decoder of what the connection receives. */
    lateinit var decoder: RequestDecoder
    private lateinit var context: ChannelHandlerContext
    private var incoming: IncomingRequest? = null
    private val queued = ArrayDeque<IncomingRequest>()
    private var current: Exchange? = null
    private var isClosing = false

    /** The status of the response to what follows the requests in [queued] and is no valid request, or null if none. */
    private var rejectionStatus: Int? = null
    private var hasDroppedRequest = false
    private var idleSinceMillis = MonotonicClock.nowMillis()
    private var headStartedMillis: Long? = null
    private var lastReceivedMillis = idleSinceMillis
    private var partsInRead = 0
    private var lastWrite: ChannelFuture? = null

    private class IncomingRequest(
        val head: RequestHead,
        val keepsConnection: Boolean,
        val isBeforeHttp11: Boolean,
        val arrivedMillis: Long,
        val body: ReceivedBody,
    ) {
        /** Whether the caller sends the body only after an interim response, which it has not got yet. */
        var awaitsContinue = !isBeforeHttp11 && head.headers.hasToken("Expect", "100-continue")

        fun toRequest(): CallerRequest = CallerRequest(head, body.take(), arrivedMillis, body.isDropped)
    }

    /** Whether no request is being received or handled, and the socket has taken all responses. */
    val isIdle: Boolean
        get() = current == null && incoming == null && queued.isEmpty() && headStartedMillis == null && !hasUnsentBytes

    /** Whether all that was received belongs to requests that are complete. */
    val isBetweenRequests: Boolean
        get() = incoming == null && headStartedMillis == null && !isClosing && rejectionStatus == null

    /** Whether the socket has not taken all that was written, as the caller reads it slowly. */
    private val hasUnsentBytes: Boolean get() = lastWrite?.isDone == false

    /** Whether a part of what follows the current request has come, which its caller has sent without notice of a close. */
    private val hasReceivedMore: Boolean
        get() = queued.isNotEmpty() ||
            incoming != null ||
            headStartedMillis != null ||
            rejectionStatus != null ||
            decoder.isWithinRequest

    /**
     * Whether a request is probably on its way: the connection is idle, and is new or has just carried a response that let
     * the caller keep it.
     */
    val isAwaitingRequest: Boolean
        get() = isIdle && !isClosing && MonotonicClock.nowMillis() - idleSinceMillis < NEXT_REQUEST_MILLIS

    /**
     * Whether the next request stays undecoded, as others wait before it. Then nothing is read either, until none waits.
     */
    fun isDecodingPaused(): Boolean {
        val isPaused = queued.size >= server.memory.bounds.maxRequestsAhead ||
            queued.isNotEmpty() &&
            server.memory.areHeadsShort
        if (isPaused) context.channel().config().isAutoRead = false
        return isPaused
    }

    override fun stalledOrNull(nowMillis: Long): StalledHolders.Holder? {
        if (isClosing || rejectionStatus != null || incoming?.awaitsContinue == true) return null
        val takenBytes = decoder.headBytes + (incoming?.body?.takenBytes ?: 0)
        return StalledHolders.Holder(takenBytes, nowMillis - lastReceivedMillis).takeIf { takenBytes > 0 }
    }

    override fun idleMillisOrNull(nowMillis: Long): Long? =
        if (isIdle && !isAwaitingRequest && !isClosing) nowMillis - idleSinceMillis else null

    override fun evict() {
        rejectRequest(UNAVAILABLE, "there is no memory for a request that makes no progress")
        // The decoder holds the fields that it has decoded until it is removed.
        if (context.pipeline().context(decoder) != null) context.pipeline().remove(decoder)
        decoder = RequestDecoder(server.limits, server.memory, ::isDecodingPaused)
    }

    /** Closes the connection if it is idle, unless a request is probably on its way or in the socket already. */
    override fun closeIfIdle() {
        if (!isIdle || isAwaitingRequest || isClosing) return
        val sinceMillis = idleSinceMillis
        // Only a delayed task lets the loop read before it runs.
        context.executor().schedule(
            { if (isIdle && idleSinceMillis == sinceMillis) closeGracefully() },
            1,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Refuses the request that is still being received, if there is one, as not run. */
    fun refuseIncomplete() {
        if (isClosing || rejectionStatus != null || incoming == null && headStartedMillis == null) return
        rejectRequest(UNAVAILABLE, "the request was not complete when the gateway ended")
    }

    /** Closes the connection at once with a TCP reset. */
    fun reset() {
        (context.channel() as SocketChannel).config().setSoLinger(0)
        context.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        server.addConnection(this)
        checkTimeouts()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        server.removeConnection(this)
        dropIncoming()
        queued.forEach { it.body.release() }
        queued.clear()
        val abandoned = current
        endCurrent()
        abandoned?.onCallerGone?.invoke()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (!context.channel().isWritable) return
        val exchange = current
        if (exchange != null) {
            exchange.onWritable()
        } else if (queued.isNotEmpty()) {
            continueWithNext()
        }
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is Error) {
            log.warn("connection_failed") {
                field("caller", context.channel().remoteAddress())
                field("error", cause)
            }
        }
        context.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            when {
                message !is HttpObject -> Unit
                isClosing || rejectionStatus != null -> drop(message)
                else -> handle(message)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Starts the time limit for the request head. Called when bytes were received, before they are decoded. */
    fun onBytesReceived() {
        lastReceivedMillis = MonotonicClock.nowMillis()
        if (incoming == null && headStartedMillis == null) headStartedMillis = MonotonicClock.nowMillis()
    }

    /** Logs the first request that comes while the connection is being closed. */
    private fun drop(message: HttpObject) {
        server.memory.releaseHead(decoder.takeHeadBytes())
        if (message is HttpRequest && message.decoderResult().isSuccess) recordDropped("closing", message.uri())
    }

    /** Logs and counts a request that gets no answer though its caller has not left; once for each connection. */
    private fun recordDropped(reason: String, target: String) {
        if (hasDroppedRequest) return
        hasDroppedRequest = true
        GatewayMetrics.recordRequestDropped(reason)
        log.info("request_dropped") {
            field("caller", context.channel().remoteAddress())
            field("target", target)
            field("reason", reason)
            field("since_answer_ms", MonotonicClock.nowMillis() - idleSinceMillis)
        }
    }

    private fun handle(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            rejectRequest(statusOf(message.decoderResult().cause()), reasonOf(message.decoderResult().cause()))
            return
        }
        if (message is HttpRequest) onRequestHead(message)
        if (message is HttpContent) onRequestContent(message)
    }

    /** Returns the message of [cause] without the parts of the request that it quotes, as one may be a key. */
    private fun reasonOf(cause: Throwable): String = cause.message.orEmpty().takeWhile { it !in "':[" }.trim()

    private fun statusOf(cause: Throwable): Int = when (cause) {
        is TooLongHttpHeaderException -> HEADERS_TOO_LARGE
        is TooLongHttpLineException -> HEADERS_TOO_LARGE
        is RequestDecoder.RefusedException -> when (cause.refusal) {
            RequestDecoder.Refusal.NO_MEMORY -> UNAVAILABLE
            RequestDecoder.Refusal.TOO_MANY_FIELDS -> HEADERS_TOO_LARGE
        }
        else -> BAD_REQUEST
    }

    private fun onRequestHead(request: HttpRequest) {
        headStartedMillis = null
        val headers = Headers(request.headers().map { Header(it.key, it.value) })
        val isBeforeHttp11 = request.protocolVersion() != HttpVersion.HTTP_1_1
        val keepsConnection = if (isBeforeHttp11) {
            headers.hasToken("Connection", "keep-alive")
        } else {
            !headers.hasToken("Connection", "close")
        }
        val head = RequestHead(request.method().name(), request.uri(), headers)
        val problem = RequestCheck.problemOrNull(head)
        if (problem != null) {
            rejectRequest(BAD_REQUEST, problem)
            return
        }
        val body = ReceivedBody(server.memory, decoder.takeHeadBytes())
        incoming = IncomingRequest(head, keepsConnection, isBeforeHttp11, MonotonicClock.nowMillis(), body)
        askForBody()
    }

    /** Asks for the body that the caller holds back, unless the response to an earlier request is due first. */
    private fun askForBody() {
        val request = incoming ?: return
        if (!request.awaitsContinue || current != null || queued.isNotEmpty()) return
        request.awaitsContinue = false
        write(Http1Encoder.continueResponse(context.alloc()))
    }

    private fun onRequestContent(content: HttpContent) {
        val request = incoming ?: return
        if (++partsInRead == MAX_PARTS_PER_READ) pauseReading()
        if (content.content().isReadable) {
            request.awaitsContinue = false
            request.body.add(content.content())
        }
        if (request.body.receivedBytes > server.limits.maxBodyBytes) {
            rejectRequest(BODY_TOO_LARGE, "the body is larger than ${server.limits.maxBodyBytes} bytes")
            return
        }
        if (content !is LastHttpContent) return
        incoming = null
        if (current == null && queued.isEmpty() && context.channel().isWritable) {
            startExchange(request)
        } else {
            queued.addLast(request)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        partsInRead = 0
    }

    /** Lets the other connections be read before more of this one, whose many parts take long to decode. */
    private fun pauseReading() {
        context.channel().config().isAutoRead = false
        context.executor().schedule(
            { if (queued.isEmpty()) context.channel().config().isAutoRead = true },
            1,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun dequeueOrNull(): IncomingRequest? {
        val next = queued.removeFirstOrNull()
        if (next != null && queued.isEmpty()) {
            context.channel().config().isAutoRead = true
            // Not at once, as this may run within a call of the decoder.
            context.executor().execute(::resumeDecoding)
        }
        return next
    }

    private fun resumeDecoding() {
        if (isClosing || rejectionStatus != null || !context.channel().isActive || queued.isNotEmpty()) return
        lastReceivedMillis = MonotonicClock.nowMillis()
        if (incoming == null && decoder.isWithinRequest) headStartedMillis = lastReceivedMillis
        decoder.resume()
    }

    private fun dropIncoming() {
        incoming?.body?.release()
        incoming = null
    }

    private fun endCurrent() {
        current?.releaseBody()
        current = null
    }

    private fun startExchange(request: IncomingRequest) {
        val exchange = Exchange(request)
        current = exchange
        server.startQueue.add { serveUnlessCallerLeft(exchange) }
    }

    private fun serveUnlessCallerLeft(exchange: Exchange) {
        if (current === exchange && context.channel().isActive) {
            try {
                server.handle(exchange)
            } catch (failure: Throwable) {
                log.warn("request_failed") {
                    field("target", exchange.request.head.target)
                    field("reason", failure)
                    field("at", failure.stackTrace.firstOrNull())
                }
                exchange.endAfterFault()
            }
            return
        }
        log.info("caller_left_before_start") {
            field("caller", context.channel().remoteAddress())
            field("target", exchange.request.head.target)
            field("waited_ms", MonotonicClock.nowMillis() - exchange.request.arrivedMillis)
        }
    }

    /**
     * Rejects a malformed request, after those before it were answered, and closes the connection, as the bytes after it
     * cannot be interpreted.
     */
    private fun rejectRequest(status: Int, reason: String?) {
        log.info("request_not_understood") {
            field("caller", context.channel().remoteAddress())
            field("status", status)
            field("reason", reason)
        }
        dropIncoming()
        server.memory.releaseHead(decoder.takeHeadBytes())
        rejectionStatus = status
        if (current == null && queued.isEmpty()) sendRejection(status)
    }

    private fun sendRejection(status: Int) {
        val head = ResponseHead(status, Headers.of("Connection" to "close"))
        write(Http1Encoder.responseHead(context.alloc(), head, "Content-Length: 0"))
        closeGracefully()
    }

    private fun onResponseEnded(exchange: Exchange, keepsConnection: Boolean) {
        if (current !== exchange) return
        endCurrent()
        idleSinceMillis = MonotonicClock.nowMillis()
        if (!keepsConnection) {
            queued.firstOrNull()?.let { recordDropped("queued", it.head.target) }
            return closeGracefully()
        }
        continueWithNext()
    }

    /** Starts the next request that waits, once the caller reads its responses, which would pile up in memory. */
    private fun continueWithNext() {
        if (isClosing || queued.isNotEmpty() && !context.channel().isWritable) return
        val next = dequeueOrNull()
        val rejection = rejectionStatus
        when {
            next != null -> startExchange(next)
            rejection != null -> sendRejection(rejection)
            else -> askForBody()
        }
    }

    /** Closes the connection once the socket has taken all responses. */
    private fun closeGracefully() {
        isClosing = true
        val write = lastWrite
        // Netty drops what it has not sent when output is shut down.
        if (write == null || write.isDone) endOutput() else write.addListener { endOutput() }
    }

    /** Shuts down output first, so that the caller can read the whole response before the connection is closed. */
    private fun endOutput() {
        val channel = context.channel() as SocketChannel
        channel.shutdownOutput()
        context.executor().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun write(bytes: ByteBuf) {
        lastWrite = context.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
    }

    /**
     * Closes the connection if it has been idle, or a request head has been incomplete, for too long. Resets it if the
     * caller has not taken a response in time, so that the response does not look complete.
     */
    private fun checkTimeouts() {
        if (!context.channel().isActive) return
        val nowMillis = MonotonicClock.nowMillis()
        val headMillis = headStartedMillis?.let { nowMillis - it } ?: 0
        val isHeadLate = queued.isEmpty() && headMillis > server.limits.headerTimeoutMillis
        val isOverdue = current == null && nowMillis - idleSinceMillis > server.limits.idleTimeoutMillis
        when {
            !isClosing && rejectionStatus == null && isHeadLate ->
                rejectRequest(REQUEST_TIMEOUT, "the request head was not complete in time")
            isOverdue && isBodyStalled(nowMillis) ->
                rejectRequest(REQUEST_TIMEOUT, "the rest of the request body did not come in time")
            isOverdue && hasUnsentBytes -> resetSlowCaller()
            isOverdue -> closeIfIdle()
        }
        context.executor().schedule(::checkTimeouts, TIMEOUT_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun isBodyStalled(nowMillis: Long): Boolean =
        !isClosing && incoming != null && nowMillis - lastReceivedMillis > server.limits.idleTimeoutMillis

    private fun resetSlowCaller() {
        log.info("response_not_taken") {
            field("caller", context.channel().remoteAddress())
            field("waited_ms", MonotonicClock.nowMillis() - idleSinceMillis)
        }
        reset()
    }

    private inner class Exchange(private val received: IncomingRequest) : CallerExchange {
        override val request: CallerRequest = received.toRequest()
        override var onCallerGone: () -> Unit = {}
        override var onWritable: () -> Unit = {}
        override val isWritable: Boolean get() = context.channel().isWritable
        private val isHead = request.head.method == "HEAD"

        /** Whether the head of the response has let the caller keep the connection, or null before it was sent. */
        private var hasAnnouncedToKeep: Boolean? = null

        private val isCurrent: Boolean get() = current === this

        /** Whether the request lets the connection be kept. */
        private val letsKeepConnection: Boolean get() = received.keepsConnection && !received.isBeforeHttp11

        override fun respond(head: ResponseHead, body: ByteArray) {
            if (!isCurrent) return
            val keepsConnection = letsKeepConnection && (!server.isDraining || hasReceivedMore)
            val framing = if (head.status == NO_CONTENT) null else "Content-Length: ${body.size}"
            write(Http1Encoder.responseHead(context.alloc(), withConnection(head, keepsConnection), framing))
            if (body.isNotEmpty() && !isHead) write(context.alloc().buffer(body.size).writeBytes(body))
            onResponseEnded(this, keepsConnection)
        }

        override fun beginResponse(head: ResponseHead) {
            if (!isCurrent) return
            val framing = if (received.isBeforeHttp11) null else "Transfer-Encoding: chunked"
            // Requests that come before the caller reads this head are answered only if it announces no close.
            hasAnnouncedToKeep = letsKeepConnection
            write(Http1Encoder.responseHead(context.alloc(), withConnection(head, letsKeepConnection), framing))
        }

        override fun sendPart(data: ByteArray) {
            if (!isCurrent || isHead) return
            val isChunked = !received.isBeforeHttp11
            val allocator = context.alloc()
            write(if (isChunked) Http1Encoder.chunk(allocator, data) else allocator.buffer().writeBytes(data))
        }

        override fun endResponse() {
            if (!isCurrent) return
            if (!received.isBeforeHttp11 && !isHead) write(Http1Encoder.lastChunk(context.alloc()))
            onResponseEnded(this, hasAnnouncedToKeep == true)
        }

        override fun abort() {
            if (!isCurrent) return
            endCurrent()
            queued.firstOrNull()?.let { recordDropped("cut", it.head.target) }
            // The end of the connection is the end of the response before HTTP/1.1, so only a reset tells them apart.
            if (received.isBeforeHttp11) reset() else context.close()
        }

        fun releaseBody() = received.body.release()

        /** Ends the exchange and the work for it after a fault of the gateway; the request may have been passed on. */
        fun endAfterFault() {
            if (hasAnnouncedToKeep == null) respond(ResponseHead(BAD_GATEWAY, Headers.EMPTY), ByteArray(0)) else abort()
            onCallerGone()
        }

        private fun withConnection(head: ResponseHead, keepsConnection: Boolean): ResponseHead =
            if (keepsConnection) head else head.copy(headers = head.headers.plus("Connection", "close"))
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val NO_CONTENT = 204
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503

        /** The number of parts of bodies that one read event may have; their decoding takes some milliseconds. */
        const val MAX_PARTS_PER_READ = 4_096

        /** How long the request for which a caller has opened or kept a connection takes to arrive, as a rule. */
        const val NEXT_REQUEST_MILLIS = 500L

        /** How long the caller has to read the last response before the connection is closed. */
        const val LINGER_MILLIS = 1_000L

        /** How often the time limits, which are of the order of seconds, are checked. */
        const val TIMEOUT_CHECK_INTERVAL_MILLIS = 1_000L
        val log = EventLog.fromName("caller")
    }
}
