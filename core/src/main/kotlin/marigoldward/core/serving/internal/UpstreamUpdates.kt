package marigoldward.core.serving.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import marigoldward.core.serving.ServingEvent
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.ServingStep
import marigoldward.core.serving.UpstreamHealth
import marigoldward.core.serving.UpstreamInfo
import marigoldward.core.serving.UpstreamState
import marigoldward.core.serving.unchanged
import marigoldward.core.serving.withMembers

/** What is learned about upstreams from others. */
internal object UpstreamUpdates {
    private const val MAX_CACHED_PIECES = 512

    fun reported(state: ServingState, event: ServingEvent.Reported, nowMillis: Long): ServingStep = state
        .updateUpstream(event.upstream) { upstream ->
            val isRestarted = upstream.report != null && upstream.report.incarnation != event.report.incarnation
            val known = if (isRestarted) restarted(upstream) else upstream
            known.copy(
                report = event.report,
                reportMillis = nowMillis,
                ownAtReport = upstream.own,
                inFlightAtReport = upstream.inFlight.size,
            )
        }.unchanged()

    fun reportMissed(state: ServingState, event: ServingEvent.ReportMissed, nowMillis: Long): ServingStep =
        Health.failed(state, event.upstream, nowMillis).unchanged()

    fun cacheChanged(state: ServingState, event: ServingEvent.CacheChanged): ServingStep = state
        .updateUpstream(event.upstream) { upstream ->
            val kept = event.evicted.fold(upstream.cachedPieces) { pieces, piece -> pieces.remove(piece) }
            upstream.copy(cachedPieces = withPieces(kept, event.stored))
        }.unchanged()

    fun listed(state: ServingState, event: ServingEvent.Listed): ServingStep {
        val listed = event.upstreams.associateBy(UpstreamInfo::id)
        val gone = state.upstreams.values.filter { it.info.id !in listed }.map(::asLeaving)
        val present = listed.values.map { info ->
            state.upstreams[info.id]?.copy(info = info) ?: UpstreamState.fromInfo(info)
        }
        val busyGone = gone.filter { it.inFlight.isNotEmpty() || it.own.streams > 0 }
        val upstreams = (present + busyGone).associateBy { it.info.id }.toPersistentMap()
        return state.copy(upstreams = upstreams).withMembers().unchanged()
    }

    fun restricted(state: ServingState, event: ServingEvent.Restricted): ServingStep = state
        .copy(quarantine = event.quarantine.toPersistentSet(), setAside = event.setAside.toPersistentSet())
        .unchanged()

    /** Returns [pieces] with [added], without the oldest beyond what is remembered. */
    fun withPieces(pieces: PersistentMap<Long, Unit>, added: List<Long>): PersistentMap<Long, Unit> {
        val extended = added.fold(pieces) { known, piece -> known.remove(piece).put(piece, Unit) }
        val surplus = extended.keys.take(maxOf(0, extended.size - MAX_CACHED_PIECES))
        return surplus.fold(extended) { known, piece -> known.remove(piece) }
    }

    /** A new incarnation has an empty cache, and the failures of the one before say nothing about it. */
    private fun restarted(upstream: UpstreamState): UpstreamState =
        upstream.copy(cachedPieces = upstream.cachedPieces.clear(), health = UpstreamHealth.UNKNOWN)

    private fun asLeaving(upstream: UpstreamState): UpstreamState =
        upstream.copy(info = upstream.info.copy(isLeaving = true))
}
