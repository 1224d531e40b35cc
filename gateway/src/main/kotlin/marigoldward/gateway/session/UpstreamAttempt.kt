package marigoldward.gateway.session

import marigoldward.core.control.Fingerprint
import marigoldward.core.dispatch.Attempt
import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.RequestHead
import marigoldward.gateway.message.ResponseHead
import marigoldward.gateway.upstream.UpstreamCall
import marigoldward.gateway.upstream.UpstreamFailure
import marigoldward.gateway.upstream.UpstreamListener

/**
 * One attempt of a session at one upstream. Sends the request, and reports the attempt to the dispatcher and the log.
 *
 * @param listener receives the response; is not called after [cancel]
 */
internal class UpstreamAttempt(
    private val context: SessionContext,
    private val request: SessionRequest,
    val upstream: ListedUpstream,
    private val listener: Listener,
) {
    /** Receives the response to an attempt, as [UpstreamListener] does, with the metadata of its head. */
    interface Listener {
        fun onHead(head: ResponseHead, metadata: Dialect.ResponseMetadata)

        fun onData(data: ByteArray)

        fun onEnd()

        fun onFailure(failure: UpstreamFailure)
    }

    private lateinit var attempt: Attempt
    private var call: UpstreamCall? = null
    private var hasEnded = false

    /** The crashes under the fingerprints of the request that were known when it was sent. */
    var knownCrashes: Map<Fingerprint, Int> = emptyMap()
        private set

    /** Whether the upstream has started again since the request was sent, so that it doesn't have the request. */
    val hasUpstreamRestarted: Boolean get() = context.dispatcher.hasRestartedSince(attempt)

    /**
     * The time since the start of the upstream that has the request last sent bytes, for any request, or since this
     * request was sent, in milliseconds.
     */
    val upstreamSilentMillis: Long
        get() {
            val record = context.dispatcher.recordOrNull(upstream.id).takeUnless { hasUpstreamRestarted }
            val lastMillis = if (record == null) lastReceivedMillis else record.health.lastReceivedMillis
            return context.nowMillis() - maxOf(attempt.startedMillis, lastMillis ?: attempt.startedMillis)
        }

    /** When the request was sent, in milliseconds of monotonic time. */
    val startedMillis: Long get() = attempt.startedMillis

    /** Whether bytes of the response were received. */
    val hasAnswerBegun: Boolean get() = lastReceivedMillis != null

    /** Whether bytes of the response were received, malformed ones included. */
    private var hasReceivedBytes = false

    /** When bytes of the response were last received, in milliseconds of monotonic time, or null if none were. */
    private var lastReceivedMillis: Long? = null

    /** The time since bytes of the response were last received, or since the request was sent, in milliseconds. */
    val answerSilentMillis: Long get() = context.nowMillis() - (lastReceivedMillis ?: attempt.startedMillis)

    /**
     * Sends [head] with the body of the request. The upstream has [prefillTokens] prompt tokens to process, fewer if it
     * copies a cached prefix from [cacheSource].
     *
     * @param step the name of the step in the log
     */
    fun send(
        head: RequestHead,
        step: String,
        prefillTokens: Int,
        cacheSource: ListedUpstream?,
        needsFreshConnection: Boolean,
    ) {
        val nowMillis = context.nowMillis()
        val prompt = request.metadata.prompt.takeIf { upstream.stage != null }
        val kind = request.route.name.takeIf { upstream.stage == null }
        attempt = context.dispatcher.recordStart(upstream.id, prompt, prefillTokens, nowMillis, kind)
        if (attempt.isPrefillPending && prompt != null) context.demand?.recordPrompt(request.serviceName, prefillTokens)
        val remainingMillis = request.deadlineMillis - nowMillis
        val record = context.dispatcher.recordOrNull(upstream.id)
        SessionLog.sent(request, attempt, step, cacheSource, record, remainingMillis)
        if (!context.crashes.isEmpty) knownCrashes = context.crashes.knownCrashes(request.fingerprints)
        val reuse = when {
            knownCrashes.isNotEmpty() -> UpstreamCall.ConnectionReuse.NONE
            needsFreshConnection -> UpstreamCall.ConnectionReuse.RECENTLY_USED
            else -> UpstreamCall.ConnectionReuse.ANY
        }
        val newCall = UpstreamCall(upstream, head, request.body, request.id, reuse, AttemptListener())
        call = newCall
        context.pool.send(newCall)
    }

    /** Checks whether the upstream still accepts connections, and passes the result to [onResult]. */
    fun probe(onResult: (Boolean) -> Unit) = context.pool.probe(upstream, onResult)

    /** Records that the upstream has processed the prompt, or received its KV cache. */
    fun recordPromptReady() = context.dispatcher.recordPromptReady(attempt, context.nowMillis())

    /** Records that the attempt ended as [end]; later calls are ignored. */
    fun recordEnd(end: AttemptEnd, reason: String) {
        if (hasEnded) return
        hasEnded = true
        val nowMillis = context.nowMillis()
        context.dispatcher.recordEnd(attempt, end, nowMillis, hasReceivedBytes)
        val mayBeDead = end == AttemptEnd.SILENT || end == AttemptEnd.UNREACHABLE
        if (mayBeDead && !hasUpstreamRestarted) context.pool.closeIdle(upstream.id)
        if (end == AttemptEnd.UNREACHABLE || end == AttemptEnd.MISDIRECTED) {
            context.duplicateEntries.recordNotFound(upstream.id, upstream.address)
        }
        SessionLog.attemptEnded(request, attempt, end, reason, nowMillis)
    }

    /** Reads no more of the response until [resumeReading], so that the upstream has to wait. */
    fun pauseReading() {
        call?.pauseReading()
    }

    /** Reads on after [pauseReading]. */
    fun resumeReading() {
        call?.resumeReading()
    }

    /** Records [end] and closes the connection, so that the upstream stops working on the request. */
    fun cancel(end: AttemptEnd, reason: String) {
        recordEnd(end, reason)
        call?.cancel()
    }

    /**
     * Treats a misdirected response that bears the id of the addressed upstream as a plain refusal: it comes from an
     * engine that has just changed its stage, not from another upstream at this address.
     */
    private inner class AttemptListener : UpstreamListener {
        override fun onHead(head: ResponseHead) {
            val reported = context.dialect.readResponse(head)
            val isOwn = reported.answeredBy == upstream.id.text
            val metadata = if (isOwn) reported.copy(isMisdirected = false) else reported
            val nowMillis = context.nowMillis()
            lastReceivedMillis = nowMillis
            hasReceivedBytes = true
            if (!hasUpstreamRestarted) {
                context.dispatcher.recordReceived(upstream.id, metadata.load, nowMillis)
                metadata.refusesForMillis?.let { recordRefusal(it, nowMillis) }
            }
            context.recordAnnouncement(upstream, reported)
            listener.onHead(head, metadata)
        }

        override fun onData(data: ByteArray) {
            val nowMillis = context.nowMillis()
            lastReceivedMillis = nowMillis
            hasReceivedBytes = true
            if (!hasUpstreamRestarted) context.dispatcher.recordReceived(upstream.id, null, nowMillis)
            listener.onData(data)
        }

        private fun recordRefusal(durationMillis: Long, nowMillis: Long) {
            context.dispatcher.recordRefusal(upstream.id, durationMillis, nowMillis)
            SessionLog.upstreamRefuses(request, upstream.id, durationMillis)
        }

        override fun onEnd() = listener.onEnd()

        override fun onFailure(failure: UpstreamFailure) {
            if (failure is UpstreamFailure.Broken) hasReceivedBytes = true
            listener.onFailure(failure)
        }
    }
}
