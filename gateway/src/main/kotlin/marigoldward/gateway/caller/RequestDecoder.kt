package marigoldward.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import marigoldward.core.routes.CallerLimits
import marigoldward.gateway.message.MessageLines
import marigoldward.support.http.HttpGrammar

/**
 * Decodes HTTP requests; rejects those whose end is ambiguous or that have a malformed line.
 *
 * It takes the memory of a head before it decodes it, and holds it until [takeHeadBytes] is called. What there is no
 * memory for is passed on as a failure, [Refusal], and nothing is decoded after it.
 *
 * @property limits the limits that it applies to heads
 * @param isPaused whether the next request is to stay undecoded until [resume] is called
 */
internal class RequestDecoder(
    val limits: CallerLimits,
    private val memory: RequestMemory,
    private val isPaused: () -> Boolean,
) : HttpRequestDecoder(config(limits)) {
    /** Why a head is not decoded. */
    enum class Refusal { NO_MEMORY, TOO_MANY_FIELDS }

    /** Carries [refusal] in the result of a message. */
    class RefusedException(val refusal: Refusal) : RuntimeException("the head was refused: $refusal")

    private var hasBegunRequest = false
    private var isInHead = true
    private var isRefused = false
    private var scan = HeadScan()
    private val lines = MessageLines(HttpGrammar::requestLineProblemOrNull)
    private var isChunked = false

    /** The number of bytes, from the reader index on, that [scan] has counted. */
    private var countedBytes = 0
    private var context: ChannelHandlerContext? = null

    /** What the head or the trailers that are being decoded take of the memory, in bytes. */
    var headBytes: Long = 0
        private set

    /** Whether it holds a part of a request that is not complete, as bytes or as lines that it has decoded. */
    val isWithinRequest: Boolean get() = hasBegunRequest || actualReadableBytes() > 0

    /** Returns the memory that the head takes that was decoded last. The caller has to free it. */
    fun takeHeadBytes(): Long = headBytes.also { headBytes = 0 }

    /** Decodes the requests that were left undecoded, if there are any. */
    fun resume() {
        val current = context ?: return
        if (!current.isRemoved && actualReadableBytes() > 0) channelRead(current, Unpooled.EMPTY_BUFFER)
    }

    override fun handlerRemoved0(context: ChannelHandlerContext) {
        memory.releaseHead(takeHeadBytes())
        super.handlerRemoved0(context)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        this.context = context
        val isNextRequest = isInHead && !hasBegunRequest
        when {
            isRefused -> buffer.skipBytes(buffer.readableBytes())
            // Without progress the superclass stops, and keeps what it has.
            isNextRequest && isPaused() -> Unit
            isInHead -> {
                val refusal = refusalOrNull(buffer)
                if (refusal == null) decodeHead(context, buffer, out) else refuse(refusal, buffer, out)
            }
            else -> decodeBody(context, buffer, out)
        }
    }

    private fun decodeHead(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val firstIndex = buffer.readerIndex()
        val decodedCount = out.size
        super.decode(context, buffer, out)
        val problem = lines.problemOrNull(buffer, firstIndex, buffer.readerIndex())
        if (problem != null) return reject(problem, buffer, out, decodedCount)
        if (out.size > decodedCount) {
            hasBegunRequest = out.last() !is LastHttpContent
            isInHead = !hasBegunRequest
            val head = out[decodedCount]
            isChunked = head is HttpMessage && HttpUtil.isTransferEncodingChunked(head)
            if (isChunked && !isInHead) lines.beginChunks()
            scan = HeadScan()
            countedBytes = 0
        } else {
            countedBytes = maxOf(0, countedBytes - (buffer.readerIndex() - firstIndex))
            if (!isBlank(buffer, firstIndex)) hasBegunRequest = true
        }
    }

    private fun decodeBody(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val firstIndex = buffer.readerIndex()
        val decodedCount = out.size
        super.decode(context, buffer, out)
        val problem = if (isChunked) lines.problemOrNull(buffer, firstIndex, buffer.readerIndex()) else null
        if (problem != null) return reject(problem, buffer, out, decodedCount)
        if (out.size > decodedCount) {
            memory.releaseHead(takeHeadBytes())
            hasBegunRequest = out.last() !is LastHttpContent
            isInHead = !hasBegunRequest
            return
        }
        // The superclass keeps trailers as it keeps the fields of a head.
        val lines = lineFeeds(buffer, firstIndex)
        if (lines > 0 && !tryHold(RequestMemory.fieldBytes(buffer.readerIndex() - firstIndex, lines))) {
            refuse(Refusal.NO_MEMORY, buffer, out)
        }
    }

    /** Takes the memory for what [buffer] has of the head and was not counted yet. */
    private fun refusalOrNull(buffer: ByteBuf): Refusal? {
        val startIndex = buffer.readerIndex() + countedBytes
        val linesBefore = scan.lines
        val endIndex = scan.count(buffer, startIndex)
        if (endIndex == startIndex) return null
        countedBytes = endIndex - buffer.readerIndex()
        val requestBytes = if (headBytes == 0L) RequestMemory.REQUEST_BYTES else 0
        val fieldBytes = RequestMemory.fieldBytes(endIndex - startIndex, scan.lines - linesBefore)
        return when {
            scan.lines > memory.bounds.maxHeadFields + 1 -> Refusal.TOO_MANY_FIELDS
            !tryHold(requestBytes + fieldBytes) -> Refusal.NO_MEMORY
            else -> null
        }
    }

    private fun tryHold(bytes: Long): Boolean = memory.tryHoldHead(bytes).also { if (it) headBytes += bytes }

    private fun refuse(refusal: Refusal, buffer: ByteBuf, out: MutableList<Any>) =
        fail(RefusedException(refusal), buffer, out)

    /** Fails the request with a malformed line; what was decoded with it, from [decodedCount] on, is not passed on. */
    private fun reject(problem: String, buffer: ByteBuf, out: MutableList<Any>, decodedCount: Int) {
        val decoded = out.subList(decodedCount, out.size)
        val failure = decoded.firstNotNullOfOrNull { (it as HttpObject).decoderResult().cause() }
        decoded.forEach(ReferenceCountUtil::release)
        decoded.clear()
        fail(failure ?: IllegalArgumentException(problem), buffer, out)
    }

    private fun fail(cause: Throwable, buffer: ByteBuf, out: MutableList<Any>) {
        isRefused = true
        buffer.skipBytes(buffer.readableBytes())
        val refused = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
        refused.setDecoderResult(DecoderResult.failure(cause))
        out.add(refused)
    }

    private fun lineFeeds(buffer: ByteBuf, firstIndex: Int): Int {
        var count = 0
        for (index in firstIndex until buffer.readerIndex()) if (buffer.getByte(index).toInt() == LINE_FEED) count++
        return count
    }

    /** Whether what was read of [buffer] since [firstIndex] is only what may stand before a request line. */
    private fun isBlank(buffer: ByteBuf, firstIndex: Int): Boolean =
        buffer.forEachByte(firstIndex, buffer.readerIndex() - firstIndex) { it in 0..SPACE } < 0

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the request has both Content-Length and Transfer-Encoding")

    private companion object {
        const val SPACE = ' '.code
        const val LINE_FEED = '\n'.code

        fun config(limits: CallerLimits): HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes)
            .setMaxHeaderSize(limits.maxHeaderBytes)
            .setAllowDuplicateContentLengths(false)
    }
}
