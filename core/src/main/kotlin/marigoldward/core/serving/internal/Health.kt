package marigoldward.core.serving.internal

import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.InFlightAttempt
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.UpstreamHealth

/** Ejects upstreams that fail repeatedly, and measures how slow their prefill is. */
internal object Health {
    private const val FAILURES_TO_EJECT = 3
    private const val BASE_EJECTION_MILLIS = 500L
    private const val MAX_EJECTION_DOUBLINGS = 5
    private const val SLOWDOWN_WEIGHT = 0.2
    private const val MAX_SLOWDOWN = 20.0
    private const val FIXED_PREFILL_MILLIS = 20.0

    fun recordSuccess(state: ServingState, upstream: UpstreamId): ServingState = state.updateUpstream(upstream) {
        it.copy(health = it.health.copy(failures = 0, ejectedUntilMillis = Long.MIN_VALUE))
    }

    fun recordFailure(state: ServingState, upstream: UpstreamId, nowMillis: Long): ServingState =
        state.updateUpstream(upstream) { it.copy(health = afterFailure(it.health, nowMillis)) }

    /** Updates the slowdown of the prefilling upstream from the actual and expected prefill time of [attempt]. */
    fun recordPrefillTime(state: ServingState, attempt: InFlightAttempt, nowMillis: Long): ServingState {
        val pool = state.declarationOrNull(attempt.work.spec.pool) ?: return state
        val prefillUpstream = when (val route = attempt.route) {
            is Route.Single -> route.upstream
            is Route.Split -> route.prefill
        }
        val queuedTokens = state.upstreams[prefillUpstream]?.estimatedLoad?.prefillTokens ?: 0
        val expectedMillis = WorkCost.prefillMillis(pool, attempt.prefillTokens + queuedTokens) + FIXED_PREFILL_MILLIS
        val ratio = (nowMillis - attempt.dispatchedMillis) / expectedMillis
        return state.updateUpstream(prefillUpstream) { upstream ->
            val smoothed = upstream.health.prefillSlowdown * (1 - SLOWDOWN_WEIGHT) + ratio * SLOWDOWN_WEIGHT
            upstream.copy(health = upstream.health.copy(prefillSlowdown = smoothed.coerceIn(1.0, MAX_SLOWDOWN)))
        }
    }

    private fun afterFailure(health: UpstreamHealth, nowMillis: Long): UpstreamHealth {
        val failures = health.failures + 1
        if (failures < FAILURES_TO_EJECT) return health.copy(failures = failures)
        val doublings = minOf(failures - FAILURES_TO_EJECT, MAX_EJECTION_DOUBLINGS)
        return health.copy(failures = failures, ejectedUntilMillis = nowMillis + (BASE_EJECTION_MILLIS shl doublings))
    }
}
