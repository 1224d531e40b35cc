package marigoldward.core.serving

import marigoldward.core.serving.internal.Admission
import marigoldward.core.serving.internal.Attempts
import marigoldward.core.serving.internal.Dispatching
import marigoldward.core.serving.internal.UpstreamUpdates

/**
 * Decides admission, dispatch order, routing, retries and quarantine for one process, as a pure function.
 *
 * It uses no clock, thread, network or random source of its own: the time is passed in, and the state of the random
 * generator is part of [ServingState].
 */
public object Serving {
    /** Returns the state and the actions after [event] at [nowMillis] of monotonic time. */
    public fun step(state: ServingState, event: ServingEvent, nowMillis: Long): ServingStep {
        val handled = handle(state, event, nowMillis)
        return handled.then { Dispatching.dispatchAll(it, nowMillis) }
    }

    private fun handle(state: ServingState, event: ServingEvent, nowMillis: Long): ServingStep = when (event) {
        is ServingEvent.RequestArrived -> Admission.admit(state, event.spec, nowMillis)
        is ServingEvent.AttemptPrefilled -> Attempts.onPrefilled(state, event, nowMillis)
        is ServingEvent.AttemptFinished -> Attempts.onFinished(state, event, nowMillis)
        is ServingEvent.CallerGone -> Admission.removeDisconnected(state, event.id)
        is ServingEvent.LoadReported -> UpstreamUpdates.onLoadReported(state, event, nowMillis)
        is ServingEvent.LoadReportMissed -> UpstreamUpdates.onLoadReportMissed(state, event, nowMillis)
        is ServingEvent.CacheChanged -> UpstreamUpdates.onCacheChanged(state, event)
        is ServingEvent.UpstreamsListed -> UpstreamUpdates.onUpstreamsListed(state, event)
        is ServingEvent.ConfigurationChanged -> state.withConfiguration(event.configuration).withoutActions()
        is ServingEvent.RestrictionsChanged -> UpstreamUpdates.onRestrictionsChanged(state, event)
        is ServingEvent.EntriesChanged -> state.copy(entries = event.entries).withoutActions()
        ServingEvent.ShutDown -> state.copy(isShuttingDown = true).withoutActions()
        ServingEvent.Tick -> Admission.expire(state, nowMillis)
    }
}
