package marigoldward.gateway.session

import marigoldward.core.Outcome
import marigoldward.core.control.Fingerprint
import marigoldward.core.dispatch.Attempt
import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.GenerationRequest
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.Placement
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.ResponseHead
import marigoldward.gateway.upstream.UpstreamFailure
import marigoldward.gateway.upstream.UpstreamPool
import java.io.ByteArrayOutputStream

/**
 * A request whose response is a stream of events, each of which is forwarded as soon as it is complete.
 *
 * One engine may process the prompt and another generate the response. If a stream breaks, another engine resumes it
 * where the route allows that; otherwise the connection to the caller is closed.
 */
internal class StreamSession(context: SessionContext, request: SessionRequest) : Session(context, request) {
    private var currentAttempt: UpstreamAttempt? = null
    private var lastEventId: String? = null
    private var hasResponseBegun = false
    private val admission = LongPromptAdmission(context, request) { if (!hasEnded) startNextAttempt() }
    private var heldCache: HeldCache? = null

    /** Whether a prefill is not charged to the retry budget, or has been: the first one that succeeds is free. */
    private var isPrefillPaid = true

    /** A KV cache that the prefill [engine] holds for this request and that no decode engine has fetched yet. */
    private class HeldCache(val engine: ListedUpstream, val handle: String)

    override fun startNextAttempt() {
        if (endIfQuarantined()) return
        when (val placement = placePaid()) {
            is Placement.Single -> startGeneration(
                placement.upstream,
                placement.prefillTokens,
                Dialect.Step.Whole,
                placement.cacheSource,
            )
            is Placement.Split -> prefillWhenAdmitted(placement)
            is Placement.None -> endWithoutPlacement(placement)
        }
    }

    override fun cancelUpstreamWork(reason: String) {
        admission.release()
        currentAttempt?.cancel(AttemptEnd.CANCELLED, reason)
        releaseHeldCache()
    }

    override fun endQuarantined() {
        admission.release()
        releaseHeldCache()
        if (hasResponseBegun) abortResponse(QUARANTINED) else super.endQuarantined()
    }

    override fun endUnanswered(end: SessionEnd) {
        if (hasResponseBegun) abortResponse(end.label) else endWithoutResponse(end)
    }

    /** Places the request, and charges another prefill after one that succeeded; without budget, avoids it. */
    private fun placePaid(): Placement {
        val placement = place(maySplit = true)
        if (placement !is Placement.Split || isPrefillPaid) return placement
        isPrefillPaid = takeFromRetryBudget()
        return if (isPrefillPaid) placement else place(maySplit = false)
    }

    private fun place(maySplit: Boolean): Placement {
        val nowMillis = context.nowMillis()
        val generationRequest = generationRequestOrNull()
            ?: return context.dispatcher.place(request.serviceName, triedUpstreams, nowMillis)
        return context.dispatcher.place(generationRequest.copy(maySplit = maySplit), triedUpstreams, nowMillis)
    }

    private fun generationRequestOrNull(): GenerationRequest? =
        generationRequestOrNull(context, request, remainingMillis)

    private fun endWithoutPlacement(placement: Placement.None) {
        admission.release()
        val reason = placement.reason.name.lowercase()
        when {
            hasResponseBegun -> abortResponse(reason)
            history.mayHaveRun -> endWithoutResponse(SessionEnd.Unknown(reason))
            else -> endWithoutResponse(SessionEnd.fromPlacement(placement, remainingMillis))
        }
    }

    /**
     * Starts the prefill, subject to the limit on long prompts. A request that may have begun to run at an engine is
     * not delayed by it.
     */
    private fun prefillWhenAdmitted(placement: Placement.Split) {
        if (history.mayHaveRun) return startPrefill(placement)
        when (admission.requestAdmission(placement.prefillTokens, remainingMillis)) {
            LongPromptAdmission.Result.Admitted -> startPrefill(placement)
            LongPromptAdmission.Result.Queued -> Unit
            LongPromptAdmission.Result.Rejected ->
                endWithoutResponse(SessionEnd.NotRun("queue", SessionEnd.retryAfterMillis(remainingMillis)))
        }
    }

    private fun startPrefill(placement: Placement.Split) {
        lateinit var attempt: UpstreamAttempt
        attempt = UpstreamAttempt(context, request, placement.prefill, PrefillListener(placement) { attempt })
        currentAttempt = attempt
        val head = context.dialect.forwardedRequest(
            request.head,
            forwardOptions(placement.prefill, Dialect.Step.Prefill, placement.cacheSource),
        )
        attempt.send(head, "prefill", placement.prefillTokens, placement.cacheSource, needsFreshConnection = false)
        watchForSilence(attempt)
    }

    private fun startGeneration(
        upstream: ListedUpstream,
        prefillTokens: Int,
        step: Dialect.Step,
        cacheSource: ListedUpstream? = null,
    ) {
        admission.release()
        lateinit var attempt: UpstreamAttempt
        attempt = UpstreamAttempt(context, request, upstream, StreamListener { attempt })
        currentAttempt = attempt
        val head = context.dialect.forwardedRequest(request.head, forwardOptions(upstream, step, cacheSource))
        recordRunSent()
        val stepLabel = if (step is Dialect.Step.Decode) "decode" else "whole"
        attempt.send(head, stepLabel, prefillTokens, cacheSource, needsFreshConnection = !request.route.isRepeatable)
        if (request.route.isRepeatable) watchForSilence(attempt)
    }

    private fun forwardOptions(
        upstream: ListedUpstream,
        step: Dialect.Step,
        cacheSource: ListedUpstream?,
    ): Dialect.ForwardOptions = Dialect.ForwardOptions(
        upstream.id,
        remainingMillis,
        request.priority,
        step,
        lastEventId,
        cacheSource?.address,
        request.identity,
    )

    /**
     * Fails the attempt if, before its answer begins, the engine sends nothing at all for [PROBE_AFTER_MILLIS] and accepts
     * no connections or has started again: it has crashed or is cut off.
     */
    private fun watchForSilence(attempt: UpstreamAttempt, delayMillis: Long = PROBE_AFTER_MILLIS) {
        scheduleUntilEnd(delayMillis) {
            if (isAwaited(attempt)) ifSilent(attempt) { attempt.probe { onProbed(attempt, it) } }
        }
    }

    private fun isAwaited(attempt: UpstreamAttempt): Boolean =
        !hasEnded && currentAttempt === attempt && !attempt.hasAnswerBegun

    private fun onProbed(attempt: UpstreamAttempt, isReachable: Boolean) {
        if (!isAwaited(attempt)) return
        val mayAnswer = isReachable && !attempt.hasUpstreamRestarted
        if (mayAnswer) watchForSilence(attempt) else ifSilent(attempt) { onSilent(attempt) }
    }

    /** Runs [action] if the engine has been silent for [PROBE_AFTER_MILLIS], and watches on otherwise. */
    private fun ifSilent(attempt: UpstreamAttempt, action: () -> Unit) {
        val restMillis = PROBE_AFTER_MILLIS - attempt.upstreamSilentMillis
        if (restMillis > 0) watchForSilence(attempt, restMillis) else action()
    }

    private fun onSilent(attempt: UpstreamAttempt) {
        attempt.cancel(AttemptEnd.SILENT, "nothing came for ${attempt.upstreamSilentMillis} ms")
        if (!attempt.hasUpstreamRestarted) {
            context.dispatcher.recordUnreachable(attempt.upstream.id, context.nowMillis())
        }
        if (attempt.upstream.stage == EngineStage.PREFILL) {
            onPrefillFailed(attempt, AttemptEnd.SILENT, "silent")
        } else {
            recordCrash(attempt)
            onAttemptFailed(attempt, AttemptEnd.SILENT, "silent")
        }
    }

    /** Retries on another engine on any route: a prefill does not count as a run of the request. */
    private fun onPrefillFailed(attempt: UpstreamAttempt, end: AttemptEnd, reason: String) {
        if (hasEnded || currentAttempt !== attempt) return
        attempt.recordEnd(end, reason)
        val recordedEnd = if (end == AttemptEnd.UNREACHABLE) AttemptEnd.UNREACHABLE else AttemptEnd.NOT_RUN
        recordAttemptEnd(attempt.upstream.id, recordedEnd)
        if (acquireRetry(recordedEnd)) {
            startNextAttempt()
        } else {
            admission.release()
            endOrAbort(reason)
        }
    }

    private fun onAttemptFailed(attempt: UpstreamAttempt, end: AttemptEnd, reason: String) {
        if (hasEnded || currentAttempt !== attempt) return
        attempt.recordEnd(end, reason)
        recordAttemptEnd(attempt.upstream.id, end)
        if (!acquireRetry(end)) {
            releaseHeldCache()
            endOrAbort(reason)
        } else if (endIfQuarantined()) {
            return
        } else if (end !in CACHE_NOT_TAKEN || !tryStartDecode()) {
            releaseHeldCache()
            startNextAttempt()
        }
    }

    /**
     * Sends the request to the best decode engine that was not tried, which fetches the KV cache; returns false if
     * there is none.
     */
    private fun tryStartDecode(): Boolean {
        val cache = heldCache ?: return false
        val generationRequest = generationRequestOrNull() ?: return false
        val decodeEngine =
            context.dispatcher
                .decodeEngineOrNull(generationRequest, cache.engine, triedUpstreams, context.nowMillis())
                ?: return false
        startGeneration(
            decodeEngine,
            Attempt.CACHE_TRANSFER_PREFILL_TOKENS,
            Dialect.Step.Decode(cache.engine.address, cache.handle),
        )
        return true
    }

    private fun endOrAbort(reason: String) {
        if (hasResponseBegun) abortResponse(reason) else endAfterFailure(reason)
    }

    private fun abortResponse(reason: String) {
        recordOutcome("broken_$reason".replace(' ', '_'), null)
        request.exchange.abort()
    }

    private fun releaseHeldCache() {
        val cache = heldCache ?: return
        heldCache = null
        CacheRelease.send(context, cache.engine, cache.handle)
    }

    private inner class PrefillListener(
        private val placement: Placement.Split,
        private val attempt: () -> UpstreamAttempt,
    ) : ResponseCollector() {
        override fun onEnd() {
            if (metadata.isMisdirected) return onPrefillFailed(attempt(), AttemptEnd.MISDIRECTED, "misdirected")
            if (head.status != OK) return onPrefillFailed(attempt(), AttemptEnd.NOT_RUN, "status ${head.status}")
            when (val handle = context.dialect.readCacheHandle(body)) {
                is Outcome.Success -> onPrefillDone(handle.value)
                is Outcome.Failure -> onPrefillFailed(attempt(), AttemptEnd.BROKEN, handle.error)
            }
        }

        override fun onFailure(failure: UpstreamFailure) = onPrefillFailed(attempt(), failure.end, failure.reason)

        private fun onPrefillDone(handle: String) {
            attempt().recordPromptReady()
            admission.release()
            isPrefillPaid = false
            attempt().recordEnd(AttemptEnd.ANSWERED, "")
            if (hasEnded || currentAttempt !== attempt()) {
                CacheRelease.send(context, placement.prefill, handle)
                return
            }
            heldCache = HeldCache(placement.prefill, handle)
            if (endIfQuarantined()) return
            if (!tryStartDecode()) {
                endOrAbort("no_decoder")
                releaseHeldCache()
            }
        }
    }

    private inner class StreamListener(private val attempt: () -> UpstreamAttempt) : ResponseCollector() {
        private val splitter = EventSplitter()
        private var isStream = false

        /** The fingerprints of the request that were under suspicion at the first event, or null before it. */
        private var suspectsAtFirstEvent: List<Fingerprint>? = null

        private val isCurrent: Boolean get() = !hasEnded && currentAttempt === attempt()

        override fun onHead(head: ResponseHead, metadata: Dialect.ResponseMetadata) {
            super.onHead(head, metadata)
            isStream = head.status == OK && ResponseVerdict.of(head, metadata) == ResponseVerdict.Usable
            if (isStream) heldCache = null
        }

        override fun onData(data: ByteArray) {
            if (!isCurrent) return
            if (isStream) forward(splitter.feed(data)) else super.onData(data)
        }

        override fun onEnd() {
            if (!isCurrent) return
            when {
                isStream && splitter.hasIncompleteEvent ->
                    onAttemptFailed(attempt(), AttemptEnd.BROKEN, "the stream ended inside an event")
                isStream -> onStreamEnded()
                else -> onResponseEnded()
            }
        }

        override fun onFailure(failure: UpstreamFailure) {
            if (failure is UpstreamFailure.ConnectionLost) recordCrash(attempt())
            onAttemptFailed(attempt(), failure.end, failure.reason)
        }

        /**
         * Forwards those of [events] that the caller has not received from an earlier engine, in one write. Reads no
         * more of the stream until the caller has taken enough of it.
         */
        private fun forward(events: List<EventSplitter.Event>) {
            val bytes = ByteArrayOutputStream()
            events.forEach { event ->
                if (isDelivered(event)) return@forEach
                lastEventId = event.id ?: lastEventId
                bytes.writeBytes(event.bytes)
            }
            if (bytes.size() == 0) return
            if (suspectsAtFirstEvent == null) suspectsAtFirstEvent = currentSuspects()
            recordBegun(context.nowMillis())
            attempt().recordPromptReady()
            recordOutput(events.size)
            sendPart(bytes.toByteArray())
            if (!request.exchange.isWritable) {
                attempt().pauseReading()
                request.exchange.onWritable = attempt()::resumeReading
            }
        }

        private fun recordOutput(eventCount: Int) {
            val tokensPerEvent = request.service.engine?.tokensPerEvent ?: return
            context.demand?.recordOutput(request.serviceName, eventCount * tokensPerEvent)
        }

        private fun sendPart(bytes: ByteArray) {
            beginResponse()
            recordPartSent()
            request.exchange.sendPart(bytes)
        }

        private fun isDelivered(event: EventSplitter.Event): Boolean {
            val number = event.id?.toLongOrNull() ?: return false
            val last = lastEventId?.toLongOrNull() ?: return false
            return number <= last
        }

        private fun beginResponse() {
            if (hasResponseBegun) return
            hasResponseBegun = true
            val headers = head.headers.endToEnd().without(setOf("content-length"))
            request.exchange.beginResponse(ResponseHead(head.status, headers))
        }

        private fun onStreamEnded() {
            attempt().recordEnd(AttemptEnd.ANSWERED, "")
            suspectsAtFirstEvent?.let(::recordAnswered)
            val rest = splitter.takeRest()
            if (rest.isEmpty()) beginResponse() else sendPart(rest)
            recordOutcome("answered", head.status)
            request.exchange.endResponse()
        }

        private fun onResponseEnded() {
            when (val verdict = ResponseVerdict.of(head, metadata)) {
                ResponseVerdict.Usable, ResponseVerdict.UpstreamError -> onNonStreamResponse()
                is ResponseVerdict.Unusable -> onAttemptFailed(attempt(), verdict.end, verdict.reason)
            }
        }

        /** Handles a complete response that is not an event stream, such as one with an error status. */
        private fun onNonStreamResponse() {
            if (hasResponseBegun) return onAttemptFailed(attempt(), AttemptEnd.FAILED, "status ${head.status}")
            attempt().recordEnd(AttemptEnd.FAILED, "status ${head.status}")
            releaseHeldCache()
            recordAttemptEnd(attempt().upstream.id, AttemptEnd.FAILED)
            if (acquireRetry(AttemptEnd.FAILED)) startNextAttempt() else respond(head, body)
        }
    }

    private companion object {
        const val OK = 200

        /** Ends of an attempt after which the prefill engine still holds the KV cache. */
        val CACHE_NOT_TAKEN = setOf(AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED, AttemptEnd.UNREACHABLE)

        /**
         * An engine that sends nothing for this long is probed, in milliseconds. The first event normally arrives
         * earlier.
         */
        const val PROBE_AFTER_MILLIS = UpstreamPool.PROBE_INTERVAL_MILLIS
    }
}
