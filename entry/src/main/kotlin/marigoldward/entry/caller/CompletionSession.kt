package marigoldward.entry.caller

import marigoldward.core.Outcome
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.AttemptResult
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.UpstreamInfo
import marigoldward.entry.operator.DemandCounter
import marigoldward.entry.serving.RequestChannel
import marigoldward.entry.serving.ServingLoop
import marigoldward.entry.serving.ServingLoopEvent
import marigoldward.entry.upstream.AttemptFailure
import marigoldward.entry.upstream.CrashDetector
import marigoldward.entry.upstream.EngineAnswer
import marigoldward.entry.upstream.EngineClient
import marigoldward.support.time.MonotonicClock

/**
 * Serves one completion request, from its arrival to the end of its answer.
 *
 * It carries out the decisions of the serving loop. If an attempt fails and the serving loop decides on another one,
 * the answer resumes after the tokens that were already delivered. Only the thread that serves the caller may use it.
 */
internal class CompletionSession(
    private val call: CompletionCall,
    private val spec: RequestSpec,
    private val channel: RequestChannel,
    private val servingLoop: ServingLoop,
    private val engineClient: EngineClient,
    private val crashDetector: CrashDetector,
    private val demandCounter: DemandCounter,
) : AutoCloseable {
    /** A part of the answer to the caller. */
    sealed interface Part {
        /** A token; only the last one has a [finishReason]. */
        data class Token(val text: String, val finishReason: String?) : Part

        /** The end of a complete answer. */
        data object End : Part

        /** The request was refused, or its answer can't be completed. */
        data class Refused(val refuse: ServingAction.Refuse) : Part

        /** The upstream rejected the request as invalid. */
        data class Rejected(val statusCode: Int, val body: String) : Part
    }

    private var answer: EngineAnswer? = null
    private var dispatch: ServingAction.Dispatch? = null
    private var deliveredTokens = 0L
    private var lastTokenMillis = 0L
    private var isPrefillReported = false
    private var isClosed = false

    /** Waits for the next part and returns it. Starts another attempt if one fails and the serving loop allows it. */
    fun next(): Part {
        while (true) {
            val current = answer
            val part = if (current == null) awaitDecision() else readPart(current)
            if (part != null) return part
        }
    }

    /** Ends the request and cancels an attempt in flight. Further calls have no effect. */
    override fun close() {
        if (isClosed) return
        isClosed = true
        answer?.close()
        finishAttempt(AttemptResult.Abandoned)
        servingLoop.put(ServingLoopEvent.RequestClosed(spec.id))
        val durationMillis = MonotonicClock.nowMillis() - spec.arrivedMillis
        EntryMetrics.observeRequestTime(spec.priority, spec.caller, "closed", durationMillis)
    }

    private fun awaitDecision(): Part? {
        val remainingMillis = spec.deadlineMillis - MonotonicClock.nowMillis()
        return when (val decision = channel.receiveOrNull(remainingMillis + DECISION_GRACE_MILLIS)) {
            null -> {
                val expired = Refusal.Expired(RETRY_AFTER_MILLIS)
                refused(ServingAction.Refuse(spec.id, expired, mayHaveRun = deliveredTokens > 0))
            }
            is ServingAction.Refuse -> refused(decision)
            is ServingAction.Quarantine -> null
            is ServingAction.Dispatch -> {
                dispatch = decision
                startAttempt(decision)
            }
        }
    }

    private fun refused(refuse: ServingAction.Refuse): Part {
        EntryMetrics.countRefusal(spec.priority, refuse.refusal.label, refuse.mayHaveRun)
        return Part.Refused(refuse)
    }

    private fun startAttempt(decision: ServingAction.Dispatch): Part? {
        val nowMillis = MonotonicClock.nowMillis()
        if (decision.attempt == 1) {
            EntryMetrics.observeQueueTime(spec.priority, spec.caller, nowMillis - spec.arrivedMillis)
            demandCounter.recordDispatch(spec, decision.prefillTokens)
        }
        if (decision.attempt > 1) EntryMetrics.countRetry(spec.priority)
        isPrefillReported = false
        return when (val opened = openAnswer(decision, nowMillis)) {
            is Outcome.Success -> {
                answer = opened.value
                null
            }
            is Outcome.Failure -> afterFailure(opened.error)
        }
    }

    private fun openAnswer(decision: ServingAction.Dispatch, nowMillis: Long): Outcome<EngineAnswer, AttemptFailure> {
        val attempt =
            EngineClient.Attempt(
                id = spec.id,
                path = call.api.path,
                body = call.body,
                priorityRank = spec.priority.rank,
                deliveredTokens = deliveredTokens,
                timeoutMillis = spec.deadlineMillis - nowMillis,
            )
        return when (val route = decision.route) {
            is Route.Single -> withUpstream(route.upstream) {
                engineClient.startAnswer(it, attempt, null, EntryMetrics::countDroppedAnswerPart)
            }
            is Route.Split -> when (val prefilled = withUpstream(route.prefill) { engineClient.prefill(it, attempt) }) {
                is Outcome.Failure -> prefilled
                is Outcome.Success -> {
                    reportPrefillOnce()
                    withUpstream(route.decode) {
                        engineClient.startAnswer(it, attempt, prefilled.value, EntryMetrics::countDroppedAnswerPart)
                    }
                }
            }
        }
    }

    private fun <T> withUpstream(
        id: UpstreamId,
        use: (UpstreamInfo) -> Outcome<T, AttemptFailure>,
    ): Outcome<T, AttemptFailure> {
        val upstream = servingLoop.upstreams[id]
            ?: return Outcome.Failure(
                AttemptFailure.NotRun("upstream $id is no longer listed", isUpstreamFault = false),
            )
        return use(upstream)
    }

    private fun afterFailure(failure: AttemptFailure): Part? = when (failure) {
        is AttemptFailure.NotRun -> {
            finishAttempt(AttemptResult.NotRun(failure.isUpstreamFault))
            null
        }
        is AttemptFailure.Broken -> {
            finishAttempt(AttemptResult.Broken(deliveredTokens, failure.isCrash))
            null
        }
        is AttemptFailure.Rejected -> {
            finishAttempt(AttemptResult.Done)
            Part.Rejected(failure.statusCode, failure.body)
        }
    }

    private fun readPart(current: EngineAnswer): Part? = when (val part = current.next()) {
        is EngineAnswer.Part.Token -> {
            recordToken()
            Part.Token(part.text, part.finishReason)
        }
        EngineAnswer.Part.End -> {
            finishAttempt(AttemptResult.Done)
            Part.End
        }
        is EngineAnswer.Part.Broken -> {
            current.close()
            finishAttempt(AttemptResult.Broken(deliveredTokens, hasAnsweringUpstreamCrashed()))
            null
        }
    }

    private fun hasAnsweringUpstreamCrashed(): Boolean {
        val upstream = dispatch?.route?.answeringUpstream?.let { servingLoop.upstreams[it] } ?: return false
        return crashDetector.hasCrashed(upstream)
    }

    private fun recordToken() {
        val nowMillis = MonotonicClock.nowMillis()
        reportPrefillOnce()
        if (deliveredTokens == 0L) {
            EntryMetrics.observeTimeToFirstToken(spec.priority, spec.caller, nowMillis - spec.arrivedMillis)
        } else {
            EntryMetrics.observeTimeBetweenTokens(spec.priority, spec.caller, nowMillis - lastTokenMillis)
        }
        deliveredTokens++
        lastTokenMillis = nowMillis
    }

    private fun reportPrefillOnce() {
        val current = dispatch ?: return
        if (isPrefillReported) return
        isPrefillReported = true
        servingLoop.put(ServingEvent.AttemptPrefilled(spec.id, current.attempt))
    }

    private fun finishAttempt(result: AttemptResult) {
        val current = dispatch ?: return
        dispatch = null
        answer = null
        servingLoop.put(ServingEvent.AttemptFinished(spec.id, current.attempt, result))
    }

    private companion object {
        /** How long after the deadline the refusal by the serving loop is awaited. */
        const val DECISION_GRACE_MILLIS = 2_000L
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
