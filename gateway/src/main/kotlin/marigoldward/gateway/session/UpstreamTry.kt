package marigoldward.gateway.session

import marigoldward.core.dispatch.Attempt
import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.AnswerHead
import marigoldward.gateway.message.RequestHead
import marigoldward.gateway.upstream.UpstreamCall
import marigoldward.gateway.upstream.UpstreamFailure
import marigoldward.gateway.upstream.UpstreamListener

/**
 * One attempt of a session at one upstream: sends it and keeps the books about it.
 *
 * @param listener told of the answer; not told anything after [cancel]
 */
internal class UpstreamTry(
    private val context: ServingContext,
    private val request: SessionRequest,
    val upstream: ListedUpstream,
    private val listener: Listener,
) {
    /** What a session is told of an attempt. */
    interface Listener {
        fun onHead(head: AnswerHead, facts: Dialect.AnswerFacts)

        fun onData(data: ByteArray)

        fun onEnd()

        fun onFailure(failure: UpstreamFailure)
    }

    private lateinit var attempt: Attempt
    private var call: UpstreamCall? = null
    private var isOver = false

    /** Whether nothing at all has come from the upstream since the request was sent. */
    val isUnheard: Boolean
        get() {
            val record = context.dispatcher.recordOrNull(upstream.id) ?: return true
            return record.health.lastReceivedMillis < attempt.startedMillis
        }

    /** How long ago it was sent, in milliseconds. */
    val ageMillis: Long get() = context.nowMillis() - attempt.startedMillis

    /** Sends [head]; the upstream has [tokensToRead] tokens to read, fewer if [copyFrom] keeps some of them. */
    fun send(head: RequestHead, label: String, tokensToRead: Int, copyFrom: ListedUpstream?, isFreshNeeded: Boolean) {
        val nowMillis = context.nowMillis()
        val prompt = request.facts.prompt.takeIf { upstream.stage != null }
        attempt = context.dispatcher.recordStart(upstream.id, prompt, tokensToRead, nowMillis)
        val leftMillis = request.deadlineMillis - nowMillis
        SessionLog.sent(request, attempt, label, copyFrom, context.dispatcher.recordOrNull(upstream.id), leftMillis)
        val next = UpstreamCall(upstream, head, request.body, request.id, isFreshNeeded, Answers())
        call = next
        context.pool.send(next)
    }

    /** Finds out whether the upstream still takes connections; tells [onResult]. */
    fun probe(onResult: (Boolean) -> Unit) = context.pool.probe(upstream, onResult)

    /** Notes that the prompt has been read. */
    fun promptRead() = context.dispatcher.recordPromptReady(attempt, context.nowMillis())

    /** Notes how the attempt ended; only the first word counts. */
    fun over(end: AttemptEnd, reason: String) {
        if (isOver) return
        isOver = true
        val nowMillis = context.nowMillis()
        context.dispatcher.recordEnd(attempt, end, nowMillis)
        if (end == AttemptEnd.SILENT || end == AttemptEnd.UNREACHABLE) context.pool.closeIdle(upstream.id)
        SessionLog.attemptEnded(request, attempt, end, reason, nowMillis)
    }

    /** Closes its connection, so that the upstream stops. */
    fun cancel(end: AttemptEnd, reason: String) {
        over(end, reason)
        call?.cancel()
    }

    /** An engine that has just changed its stage refuses like one that has another's address. */
    private inner class Answers : UpstreamListener {
        override fun onHead(head: AnswerHead) {
            val told = context.dialect.readAnswer(head)
            val isOwn = told.answeredBy == upstream.id.text
            val facts = if (isOwn) told.copy(isMisdirected = false) else told
            context.dispatcher.recordReceived(upstream.id, facts.load, context.nowMillis())
            listener.onHead(head, facts)
        }

        override fun onData(data: ByteArray) {
            context.dispatcher.recordReceived(upstream.id, null, context.nowMillis())
            listener.onData(data)
        }

        override fun onEnd() = listener.onEnd()

        override fun onFailure(failure: UpstreamFailure) = listener.onFailure(failure)
    }
}
