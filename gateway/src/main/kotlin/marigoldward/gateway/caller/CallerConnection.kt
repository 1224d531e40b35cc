package marigoldward.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
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
import marigoldward.gateway.message.AnswerHead
import marigoldward.gateway.message.Header
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.HttpText
import marigoldward.gateway.message.RequestHead
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/**
 * One connection of a caller: its requests are handled one after the other. Used by the loop's thread only.
 *
 * @param server decides what holds for all connections
 */
internal class CallerConnection(private val server: CallerServer) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var building: Building? = null
    private val waiting = ArrayDeque<Building>()
    private var current: Exchange? = null
    private var isClosing = false
    private var idleSinceMillis = MonotonicClock.nowMillis()
    private var headSinceMillis: Long? = null

    private class Building(
        val head: RequestHead,
        val keepsConnection: Boolean,
        val hasOldVersion: Boolean,
        val arrivedMillis: Long,
    ) {
        val body = ByteArrayOutputStream(0)

        fun toRequest(): CallerRequest = CallerRequest(head, body.toByteArray(), arrivedMillis)
    }

    /** Whether no request is under way. */
    val isIdle: Boolean get() = current == null && building == null && waiting.isEmpty() && headSinceMillis == null

    /** Closes the connection if no request is under way. */
    fun closeIfIdle() {
        if (isIdle) closeGently()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        server.opened(this)
        checkTimes()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        server.closed(this)
        waiting.clear()
        val gone = current
        current = null
        gone?.onGone?.invoke()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject && !isClosing) handle(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Notes that bytes came, before they are decoded. */
    fun bytesCame() {
        if (building == null && headSinceMillis == null) headSinceMillis = MonotonicClock.nowMillis()
    }

    private fun handle(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            refuse(statusOf(message.decoderResult().cause()), message.decoderResult().cause().message)
            return
        }
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) add(message)
    }

    private fun statusOf(cause: Throwable): Int = when (cause) {
        is TooLongHttpHeaderException -> HEADERS_TOO_LARGE
        is TooLongHttpLineException -> HEADERS_TOO_LARGE
        else -> BAD_REQUEST
    }

    private fun begin(request: HttpRequest) {
        headSinceMillis = null
        val headers = Headers(request.headers().map { Header(it.key, it.value) })
        val isOld = request.protocolVersion() != HttpVersion.HTTP_1_1
        val keeps = if (isOld) {
            headers.hasToken(
                "Connection",
                "keep-alive",
            )
        } else {
            !headers.hasToken("Connection", "close")
        }
        val head = RequestHead(request.method().name(), request.uri(), headers)
        val problem = RequestCheck.problemOrNull(head)
        if (problem != null) {
            refuse(BAD_REQUEST, problem)
            return
        }
        building = Building(head, keeps, isOld, MonotonicClock.nowMillis())
        if (headers.hasToken("Expect", "100-continue")) write(HttpText.continued(context.alloc()))
    }

    private fun add(content: HttpContent) {
        val request = building ?: return
        if (content.content().isReadable) request.body.writeBytes(ByteBufUtil.getBytes(content.content()))
        if (request.body.size() > server.limits.maxBodyBytes) {
            refuse(BODY_TOO_LARGE, "the body is larger than ${server.limits.maxBodyBytes} bytes")
            return
        }
        if (content !is LastHttpContent) return
        building = null
        if (current == null) start(request) else waiting.addLast(request)
    }

    private fun start(request: Building) {
        val exchange = Exchange(request)
        current = exchange
        server.handle(exchange)
    }

    /** Answers what is no request, and closes: what follows it can't be understood. */
    private fun refuse(status: Int, reason: String?) {
        log.info("request_not_understood") {
            field("caller", context.channel().remoteAddress())
            field("status", status)
            field("reason", reason)
        }
        building = null
        isClosing = true
        if (current != null) return
        val head = AnswerHead(status, Headers.of("Connection" to "close"))
        write(HttpText.answerHead(context.alloc(), head, "Content-Length: 0"))
        closeGently()
    }

    private fun ended(exchange: Exchange, keepsConnection: Boolean) {
        if (current !== exchange) return
        current = null
        idleSinceMillis = MonotonicClock.nowMillis()
        val next = waiting.removeFirstOrNull()
        when {
            !keepsConnection || isClosing -> closeGently()
            next != null -> start(next)
        }
    }

    /** Ends the sending side first, so that the caller reads everything before the connection is gone. */
    private fun closeGently() {
        isClosing = true
        val channel = context.channel() as SocketChannel
        channel.shutdownOutput()
        context.executor().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun write(bytes: ByteBuf) {
        context.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
    }

    /** Closes the connection once it has been idle, or a head has been coming, for too long. */
    private fun checkTimes() {
        if (!context.channel().isActive) return
        val nowMillis = MonotonicClock.nowMillis()
        val headMillis = headSinceMillis?.let { nowMillis - it } ?: 0
        when {
            headMillis > server.limits.headerTimeoutMillis -> refuse(TIMEOUT, "the head took too long")
            isIdle && nowMillis - idleSinceMillis > server.limits.idleTimeoutMillis -> closeGently()
        }
        context.executor().schedule(::checkTimes, CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private inner class Exchange(private val building: Building) : CallerExchange {
        override val request: CallerRequest = building.toRequest()
        override var onGone: () -> Unit = {}
        private val isHead = request.head.method == "HEAD"

        private val isOpen: Boolean get() = current === this

        override fun answer(head: AnswerHead, body: ByteArray) {
            if (!isOpen) return
            val keeps = keeps()
            val framing = if (head.status == NO_CONTENT) null else "Content-Length: ${body.size}"
            write(HttpText.answerHead(context.alloc(), withConnection(head, keeps), framing))
            if (body.isNotEmpty() && !isHead) write(context.alloc().buffer(body.size).writeBytes(body))
            ended(this, keeps)
        }

        override fun begin(head: AnswerHead) {
            if (!isOpen) return
            val framing = if (building.hasOldVersion) null else "Transfer-Encoding: chunked"
            write(HttpText.answerHead(context.alloc(), withConnection(head, keeps()), framing))
        }

        override fun send(data: ByteArray) {
            if (!isOpen || isHead) return
            val isChunked = !building.hasOldVersion
            write(if (isChunked) HttpText.chunk(context.alloc(), data) else context.alloc().buffer().writeBytes(data))
        }

        override fun end() {
            if (!isOpen) return
            if (!building.hasOldVersion && !isHead) write(HttpText.lastChunk(context.alloc()))
            ended(this, keeps())
        }

        override fun breakOff() {
            if (!isOpen) return
            current = null
            context.close()
        }

        private fun keeps(): Boolean =
            building.keepsConnection && !building.hasOldVersion && !server.isDraining && !isClosing

        private fun withConnection(head: AnswerHead, keeps: Boolean): AnswerHead =
            if (keeps) head else head.copy(headers = head.headers.plus("Connection", "close"))
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val NO_CONTENT = 204

        /** How long the caller has to read the last answer before the connection is gone, in milliseconds. */
        const val LINGER_MILLIS = 1_000L

        /** How often the time limits are looked at, in milliseconds; they are seconds. */
        const val CHECK_MILLIS = 1_000L
        val log = EventLog.fromName("caller")
    }
}
