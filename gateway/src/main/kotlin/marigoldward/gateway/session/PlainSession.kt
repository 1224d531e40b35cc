package marigoldward.gateway.session

import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.Placement
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.ResponseHead
import marigoldward.gateway.upstream.UpstreamFailure

/** A request to a plain service, whose response is forwarded to the caller when it is complete. */
internal class PlainSession(context: SessionContext, request: SessionRequest) : Session(context, request) {
    private var currentAttempt: UpstreamAttempt? = null

    /** The last server error that an upstream returned; forwarded to the caller if no other attempt succeeds. */
    private var upstreamError: Response? = null

    private class Response(val head: ResponseHead, val body: ByteArray)

    override fun startNextAttempt() {
        if (endIfQuarantined()) return
        when (val placement = place(triedUpstreams)) {
            is Placement.Single -> send(placement.upstream)
            is Placement.Split -> error("a plain service has no engines")
            is Placement.None -> endWithoutPlacement(placement)
        }
    }

    override fun cancelUpstreamWork(reason: String) {
        currentAttempt?.takeIf { mayHaveRun }?.let { recordBegun(it.startedMillis) }
        currentAttempt?.cancel(AttemptEnd.CANCELLED, reason)
    }

    override fun endQuarantined() {
        val lastError = upstreamError
        if (lastError == null) super.endQuarantined() else respond(lastError.head, lastError.body)
    }

    override fun endUnanswered(end: SessionEnd) {
        val lastError = upstreamError
        if (lastError == null) endWithoutResponse(end) else respond(lastError.head, lastError.body)
    }

    private fun endWithoutPlacement(placement: Placement.None) = endUnanswered(
        if (history.mayHaveRun) {
            SessionEnd.Unknown(placement.reason.name.lowercase())
        } else {
            SessionEnd.fromPlacement(placement, remainingMillis)
        },
    )

    private fun send(upstream: ListedUpstream) {
        val options =
            Dialect.ForwardOptions(
                upstream.id,
                remainingMillis,
                request.priority,
                Dialect.Step.Whole,
                resumeAfterEventId = null,
                identity = request.identity,
            )
        lateinit var attempt: UpstreamAttempt
        attempt = UpstreamAttempt(context, request, upstream, PlainListener { attempt })
        currentAttempt = attempt
        val head = context.dialect.forwardedRequest(request.head, options)
        recordRunSent()
        attempt.send(
            head,
            "whole",
            prefillTokens = 0,
            cacheSource = null,
            needsFreshConnection = !request.route.isRepeatable,
        )
        if (request.route.isRepeatable) watchForOverdue(attempt, overdueMillis())
    }

    private fun watchForOverdue(attempt: UpstreamAttempt, delayMillis: Long) {
        scheduleUntilEnd(delayMillis) { retryIfOverdue(attempt) }
    }

    private fun overdueMillis(): Long = maxOf(MIN_OVERDUE_MILLIS, request.route.targetLatencyMillis * OVERDUE_TARGETS)

    /**
     * Sends the request to another upstream if no bytes of the response came for as long as it takes to be overdue, as it
     * may be lost, if another upstream is usable and the retry budget allows it. Otherwise the attempt goes on, and is
     * watched as long as the route and the time that is left allow another one.
     */
    private fun retryIfOverdue(attempt: UpstreamAttempt) {
        if (hasEnded || currentAttempt !== attempt) return
        val silentMillis = attempt.answerSilentMillis
        when {
            silentMillis < overdueMillis() -> watchForOverdue(attempt, overdueMillis() - silentMillis)
            !mayRepeat() -> Unit
            else -> {
                val other = otherUpstreamOrNull(attempt)
                if (other == null || !takeFromRetryBudget()) return watchForOverdue(attempt, overdueMillis())
                attempt.cancel(AttemptEnd.SILENT, "nothing came for $silentMillis ms")
                recordAttemptEnd(attempt.upstream.id, AttemptEnd.SILENT)
                recordBegun(attempt.startedMillis)
                if (!endIfQuarantined()) send(other)
            }
        }
    }

    private fun place(tried: Set<UpstreamId>): Placement =
        context.dispatcher.place(request.serviceName, tried, context.nowMillis(), request.route.name)

    /** Returns a usable upstream that the request was not sent to, or null if there is none. */
    private fun otherUpstreamOrNull(attempt: UpstreamAttempt): ListedUpstream? {
        val tried = triedUpstreams + attempt.upstream.id
        return when (val placement = place(tried)) {
            is Placement.Single -> placement.upstream
            is Placement.Split -> error("a plain service has no engines")
            is Placement.None -> null
        }
    }

    /** Whether the route and the time that is left allow another attempt after an overdue one. */
    private fun mayRepeat(): Boolean =
        history.after(AttemptEnd.SILENT).possibleRuns < request.route.maxAttempts && remainingMillis >= overdueMillis()

    private fun onAttemptFailed(attempt: UpstreamAttempt, end: AttemptEnd, reason: String) {
        if (hasEnded || currentAttempt !== attempt) return
        attempt.recordEnd(end, reason)
        recordAttemptEnd(attempt.upstream.id, end)
        if (end in ENDS_OF_RUNS) recordBegun(attempt.startedMillis)
        if (acquireRetry(end)) {
            startNextAttempt()
            return
        }
        val lastError = upstreamError
        if (lastError == null) endAfterFailure(reason) else respond(lastError.head, lastError.body)
    }

    private inner class PlainListener(private val attempt: () -> UpstreamAttempt) : ResponseCollector() {
        override fun onEnd() {
            when (val verdict = ResponseVerdict.of(head, metadata)) {
                ResponseVerdict.Usable -> {
                    attempt().recordEnd(AttemptEnd.ANSWERED, "")
                    recordBegun(attempt().startedMillis)
                    recordAnswered(currentSuspects())
                    if (!hasEnded && currentAttempt === attempt()) respond(head, body)
                }
                ResponseVerdict.UpstreamError -> {
                    upstreamError = Response(head, body)
                    onAttemptFailed(attempt(), AttemptEnd.FAILED, "status ${head.status}")
                }
                is ResponseVerdict.Unusable -> onAttemptFailed(attempt(), verdict.end, verdict.reason)
            }
        }

        override fun onFailure(failure: UpstreamFailure) {
            if (failure is UpstreamFailure.ConnectionLost) recordCrash(attempt())
            onAttemptFailed(attempt(), failure.end, failure.reason)
        }
    }

    private companion object {
        /** Ends of attempts whose upstream has probably begun to run the request. */
        val ENDS_OF_RUNS = setOf(AttemptEnd.FAILED, AttemptEnd.BROKEN, AttemptEnd.SILENT)

        /**
         * A response to a repeatable request is overdue if nothing of it came for this multiple of the target latency of
         * its route.
         */
        const val OVERDUE_TARGETS = 2

        /** The shortest time after which a response is overdue; a route may have no target. */
        const val MIN_OVERDUE_MILLIS = 100L
    }
}
