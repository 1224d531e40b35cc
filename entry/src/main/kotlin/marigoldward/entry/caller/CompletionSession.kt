package marigoldward.entry.caller

import marigoldward.core.Outcome
import marigoldward.core.serving.AttemptResult
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.UpstreamInfo
import marigoldward.entry.operator.DemandCounter
import marigoldward.entry.serving.RequestChannel
import marigoldward.entry.serving.ServingDuty
import marigoldward.entry.serving.ServingDutyEvent
import marigoldward.entry.upstream.AttemptFailure
import marigoldward.entry.upstream.CrashCheck
import marigoldward.entry.upstream.EngineAnswer
import marigoldward.entry.upstream.EngineClient
import marigoldward.support.time.MonotonicClock

/**
 * One completion from its arrival to its end, over as many attempts as the decisions allow.
 *
 * Used by the one thread that serves the caller.
 */
internal class CompletionSession(
    private val call: CompletionCall,
    private val spec: RequestSpec,
    private val channel: RequestChannel,
    private val serving: ServingDuty,
    private val engines: EngineClient,
    private val crashes: CrashCheck,
    private val demand: DemandCounter,
) : AutoCloseable {
    /** What the caller gets next. */
    sealed interface Part {
        data class Token(val text: String, val finishReason: String?) : Part

        data object End : Part

        /** There is no whole answer. */
        data class Refused(val refuse: ServingAction.Refuse) : Part

        /** The upstream does not take the request as it is. */
        data class Rejected(val statusCode: Int, val body: String) : Part
    }

    private var answer: EngineAnswer? = null
    private var dispatch: ServingAction.Dispatch? = null
    private var deliveredTokens = 0L
    private var lastTokenMillis = 0L
    private var isPrefillReported = false
    private var isClosed = false

    /** Waits for the next part, through other attempts if need be. */
    fun next(): Part {
        while (true) {
            val open = answer
            val part = if (open == null) openNext() else read(open)
            if (part != null) return part
        }
    }

    /** Ends the request: what is under way is cancelled. */
    override fun close() {
        if (isClosed) return
        isClosed = true
        answer?.close()
        finish(AttemptResult.Abandoned)
        serving.put(ServingDutyEvent.Closed(spec.id))
        EntryMetrics.observeWhole(spec.priority, spec.caller, "closed", MonotonicClock.nowMillis() - spec.arrivedMillis)
    }

    private fun openNext(): Part? {
        val leftMillis = spec.deadlineMillis - MonotonicClock.nowMillis()
        return when (val decision = channel.receiveOrNull(leftMillis + DECISION_SLACK_MILLIS)) {
            null -> ended(
                ServingAction.Refuse(
                    spec.id,
                    Refusal.Expired(RETRY_AFTER_MILLIS),
                    mayHaveRun =
                    deliveredTokens > 0,
                ),
            )
            is ServingAction.Refuse -> ended(decision)
            is ServingAction.Quarantine -> null
            is ServingAction.Dispatch -> {
                dispatch = decision
                start(decision)
            }
        }
    }

    private fun ended(refuse: ServingAction.Refuse): Part {
        EntryMetrics.countRefused(spec.priority, refuse.refusal.label, refuse.mayHaveRun)
        return Part.Refused(refuse)
    }

    private fun start(decision: ServingAction.Dispatch): Part? {
        val nowMillis = MonotonicClock.nowMillis()
        if (decision.attempt == 1) EntryMetrics.observeQueue(spec.priority, spec.caller, nowMillis - spec.arrivedMillis)
        if (decision.attempt == 1) demand.dispatched(spec, decision.prefillTokens)
        if (decision.attempt > 1) EntryMetrics.countRetry(spec.priority)
        isPrefillReported = false
        return when (val opened = open(decision, nowMillis)) {
            is Outcome.Success -> {
                answer = opened.value
                null
            }
            is Outcome.Failure -> afterFailure(opened.error)
        }
    }

    private fun open(decision: ServingAction.Dispatch, nowMillis: Long): Outcome<EngineAnswer, AttemptFailure> {
        val attempt =
            EngineClient.Attempt(
                id = spec.id,
                path = call.kind.path,
                body = call.body,
                rank = spec.priority.rank,
                deliveredTokens = deliveredTokens,
                timeoutMillis = spec.deadlineMillis - nowMillis,
            )
        return when (val route = decision.route) {
            is Route.Single -> withUpstream(route.upstream) {
                engines.open(it, attempt, null, EntryMetrics::countDropped)
            }
            is Route.Split -> when (val read = withUpstream(route.prefill) { engines.prefill(it, attempt) }) {
                is Outcome.Failure -> read
                is Outcome.Success -> {
                    reportPrefilled()
                    withUpstream(route.decode) { engines.open(it, attempt, read.value, EntryMetrics::countDropped) }
                }
            }
        }
    }

    private fun <T> withUpstream(
        id: marigoldward.core.model.UpstreamId,
        use: (UpstreamInfo) -> Outcome<T, AttemptFailure>,
    ): Outcome<T, AttemptFailure> {
        val upstream = serving.upstreams[id]
            ?: return Outcome.Failure(
                AttemptFailure.NotRun("upstream $id is no longer listed", isUpstreamFault = false),
            )
        return use(upstream)
    }

    private fun afterFailure(failure: AttemptFailure): Part? = when (failure) {
        is AttemptFailure.NotRun -> {
            finish(AttemptResult.NotRun(failure.isUpstreamFault))
            null
        }
        is AttemptFailure.Broken -> {
            finish(AttemptResult.Broken(deliveredTokens, failure.isCrash))
            null
        }
        is AttemptFailure.Rejected -> {
            finish(AttemptResult.Done)
            Part.Rejected(failure.statusCode, failure.body)
        }
    }

    private fun read(open: EngineAnswer): Part? = when (val part = open.next()) {
        is EngineAnswer.Part.Token -> {
            countToken()
            Part.Token(part.text, part.finishReason)
        }
        EngineAnswer.Part.End -> {
            finish(AttemptResult.Done)
            Part.End
        }
        is EngineAnswer.Part.Broken -> {
            open.close()
            finish(AttemptResult.Broken(deliveredTokens, isCrash()))
            null
        }
    }

    private fun isCrash(): Boolean {
        val upstream = dispatch?.route?.answeringUpstream?.let { serving.upstreams[it] } ?: return false
        return crashes.isCrashed(upstream)
    }

    private fun countToken() {
        val nowMillis = MonotonicClock.nowMillis()
        reportPrefilled()
        if (deliveredTokens == 0L) {
            EntryMetrics.observeFirstToken(spec.priority, spec.caller, nowMillis - spec.arrivedMillis)
        } else {
            EntryMetrics.observeBetweenTokens(spec.priority, spec.caller, nowMillis - lastTokenMillis)
        }
        deliveredTokens++
        lastTokenMillis = nowMillis
    }

    private fun reportPrefilled() {
        val current = dispatch ?: return
        if (isPrefillReported) return
        isPrefillReported = true
        serving.put(ServingEvent.AttemptPrefilled(spec.id, current.attempt))
    }

    private fun finish(result: AttemptResult) {
        val current = dispatch ?: return
        dispatch = null
        answer = null
        serving.put(ServingEvent.AttemptFinished(spec.id, current.attempt, result))
    }

    private companion object {
        const val DECISION_SLACK_MILLIS = 2_000L
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
