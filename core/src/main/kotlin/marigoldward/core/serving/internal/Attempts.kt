package marigoldward.core.serving.internal

import marigoldward.core.control.Fingerprint
import marigoldward.core.internal.withoutOldest
import marigoldward.core.model.RequestId
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.AttemptResult
import marigoldward.core.serving.InFlightAttempt
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.ServingStep
import marigoldward.core.serving.UpstreamLoad
import marigoldward.core.serving.UpstreamState
import marigoldward.core.serving.withActions
import marigoldward.core.serving.withoutActions

/** Starts and ends attempts, and keeps track of the load that they put on upstreams. */
internal object Attempts {
    private const val CRASHES_TO_QUARANTINE = 2
    private const val MAX_CRASH_COUNTS = 1_000

    /** Returns the state with [attempt] in flight and its load added to its upstreams. */
    fun start(state: ServingState, attempt: InFlightAttempt): ServingState {
        val id = attempt.work.spec.id
        val placed = loadShares(attempt).fold(state) { current, share ->
            current.updateUpstream(share.upstream) { it.copy(ownLoad = it.ownLoad + share.load) }
        }
        val answeringUpstream = attempt.route.answeringUpstream
        return placed
            .updateUpstream(answeringUpstream) { it.copy(inFlight = it.inFlight.put(id, attempt)) }
            .copy(answeringUpstreams = state.answeringUpstreams.put(id, answeringUpstream))
    }

    fun onPrefilled(state: ServingState, event: ServingEvent.AttemptPrefilled, nowMillis: Long): ServingStep {
        val attempt = attemptOrNull(state, event.id, event.attempt) ?: return state.withoutActions()
        if (attempt.isPrefilled) return state.withoutActions()
        val afterPrefill = attempt.copy(isPrefilled = true)
        val answeringUpstream = attempt.route.answeringUpstream
        val withPrefillDone = replaceLoad(state, attempt, afterPrefill)
            .updateUpstream(answeringUpstream) { it.copy(inFlight = it.inFlight.put(event.id, afterPrefill)) }
        return Health.recordPrefillTime(withPrefillDone, attempt, nowMillis).withoutActions()
    }

    fun onFinished(state: ServingState, event: ServingEvent.AttemptFinished, nowMillis: Long): ServingStep {
        val attempt = attemptOrNull(state, event.id, event.attempt) ?: return state.withoutActions()
        val released = removeAttempt(state, attempt)
        val answeringUpstream = attempt.route.answeringUpstream
        return when (val result = event.result) {
            AttemptResult.Done ->
                Health
                    .recordSuccess(withoutCrashes(released, attempt.work.spec.fingerprint), answeringUpstream)
                    .withoutActions()
            AttemptResult.Abandoned -> released.withoutActions()
            is AttemptResult.NotRun -> onNotRun(released, attempt, result, nowMillis)
            is AttemptResult.Broken -> onBroken(released, attempt, result, nowMillis)
        }
    }

    private fun onNotRun(
        state: ServingState,
        attempt: InFlightAttempt,
        result: AttemptResult.NotRun,
        nowMillis: Long,
    ): ServingStep {
        val answeringUpstream = attempt.route.answeringUpstream
        if (!result.isUpstreamFault) return Retries.queueDeclined(state, attempt.work, nowMillis)
        return Retries.retryOrRefuse(Health.recordFailure(state, answeringUpstream, nowMillis), attempt.work, nowMillis)
    }

    private fun onBroken(
        state: ServingState,
        attempt: InFlightAttempt,
        result: AttemptResult.Broken,
        nowMillis: Long,
    ): ServingStep {
        val withFailure = Health.recordFailure(state, attempt.route.answeringUpstream, nowMillis)
        val crashCount = attempt.work.crashCount + if (result.isCrash) 1 else 0
        val work =
            attempt.work.copy(
                mayHaveRun = true,
                crashCount = crashCount,
                deliveredTokens = maxOf(attempt.work.deliveredTokens, result.deliveredTokens),
            )
        val counted = if (result.isCrash) withCrashes(withFailure, work) else withFailure
        if (crashCount >= CRASHES_TO_QUARANTINE) return quarantine(counted, work)
        return Retries.retryOrRefuse(counted, work, nowMillis)
    }

    private fun withCrashes(state: ServingState, work: PendingWork): ServingState {
        val counts = state.crashCounts.put(work.spec.fingerprint, work.crashCount)
        return state.copy(crashCounts = withoutOldest(counts, MAX_CRASH_COUNTS))
    }

    private fun withoutCrashes(state: ServingState, fingerprint: Fingerprint): ServingState =
        if (fingerprint in state.crashCounts) state.copy(crashCounts = state.crashCounts.remove(fingerprint)) else state

    private fun quarantine(state: ServingState, work: PendingWork): ServingStep {
        val fingerprint = work.spec.fingerprint
        val reason = "request ${work.spec.id} was running on ${work.crashCount} upstreams when they crashed"
        return state
            .copy(quarantine = state.quarantine.add(fingerprint))
            .withActions(
                ServingAction.Quarantine(fingerprint, reason),
                ServingAction.Refuse(work.spec.id, Refusal.Quarantined, mayHaveRun = true),
            )
    }

    private fun removeAttempt(state: ServingState, attempt: InFlightAttempt): ServingState {
        val id = attempt.work.spec.id
        val released = loadShares(attempt).fold(state) { current, share ->
            current.updateUpstream(share.upstream) { it.copy(ownLoad = (it.ownLoad - share.load).withoutNegatives()) }
        }
        return released
            .updateUpstream(attempt.route.answeringUpstream) { it.copy(inFlight = it.inFlight.remove(id)) }
            .copy(answeringUpstreams = released.answeringUpstreams.remove(id))
    }

    private fun replaceLoad(state: ServingState, before: InFlightAttempt, after: InFlightAttempt): ServingState {
        val released = loadShares(before).fold(state) { current, share ->
            current.updateUpstream(share.upstream) { it.copy(ownLoad = (it.ownLoad - share.load).withoutNegatives()) }
        }
        return loadShares(after).fold(released) { current, share ->
            current.updateUpstream(share.upstream) { it.copy(ownLoad = it.ownLoad + share.load) }
        }
    }

    private data class LoadShare(val upstream: UpstreamId, val load: UpstreamLoad)

    private fun loadShares(attempt: InFlightAttempt): List<LoadShare> {
        val prefillTokens = if (attempt.isPrefilled) 0 else attempt.prefillTokens
        val kvTokens = attempt.work.spec.kvTokens
        return when (val route = attempt.route) {
            is Route.Single -> listOf(LoadShare(route.upstream, UpstreamLoad(1, prefillTokens, kvTokens)))
            is Route.Split -> {
                val prefillLoad =
                    if (attempt.isPrefilled) UpstreamLoad.NONE else UpstreamLoad(1, prefillTokens, kvTokens)
                listOf(LoadShare(route.prefill, prefillLoad), LoadShare(route.decode, UpstreamLoad(1, 0, kvTokens)))
            }
        }
    }

    private fun attemptOrNull(state: ServingState, id: RequestId, number: Int): InFlightAttempt? {
        val upstreamId = state.answeringUpstreams[id] ?: return null
        return state.upstreams[upstreamId]?.inFlight?.get(id)?.takeIf { it.work.attempt == number }
    }
}

/** Returns the state with the upstream [id] replaced by the result of [change], or this state if it is unknown. */
internal fun ServingState.updateUpstream(id: UpstreamId, change: (UpstreamState) -> UpstreamState): ServingState {
    val upstream = upstreams[id] ?: return this
    return copy(upstreams = upstreams.put(id, change(upstream)))
}
