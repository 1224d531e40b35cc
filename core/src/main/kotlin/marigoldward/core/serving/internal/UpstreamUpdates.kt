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
import marigoldward.core.serving.withMemberLists
import marigoldward.core.serving.withoutActions

/** Applies load reports, cache events, lists of upstreams and restrictions to the state. */
internal object UpstreamUpdates {
    private const val MAX_CACHED_PIECES = 512

    fun onLoadReported(state: ServingState, event: ServingEvent.LoadReported, nowMillis: Long): ServingStep = state
        .updateUpstream(event.upstream) { upstream ->
            val isRestarted = upstream.report != null && upstream.report.incarnation != event.report.incarnation
            val current = if (isRestarted) forgetPreviousIncarnation(upstream) else upstream
            current.copy(
                report = event.report,
                reportMillis = nowMillis,
                ownLoadAtReport = upstream.ownLoad,
                inFlightCountAtReport = upstream.inFlight.size,
            )
        }.withoutActions()

    fun onLoadReportMissed(state: ServingState, event: ServingEvent.LoadReportMissed, nowMillis: Long): ServingStep =
        Health.recordFailure(state, event.upstream, nowMillis).withoutActions()

    fun onCacheChanged(state: ServingState, event: ServingEvent.CacheChanged): ServingStep = state
        .updateUpstream(event.upstream) { upstream ->
            val remaining = event.evicted.fold(upstream.cachedPieceHashes) { pieces, piece -> pieces.remove(piece) }
            upstream.copy(cachedPieceHashes = addPieces(remaining, event.stored))
        }.withoutActions()

    fun onUpstreamsListed(state: ServingState, event: ServingEvent.UpstreamsListed): ServingStep {
        val listed = event.upstreams.associateBy(UpstreamInfo::id)
        val removed = state.upstreams.values.filter { it.info.id !in listed }.map(::markLeaving)
        val present = listed.values.map { info ->
            state.upstreams[info.id]?.copy(info = info) ?: UpstreamState.fromInfo(info)
        }
        val removedButInUse = removed.filter { it.inFlight.isNotEmpty() || it.ownLoad.streams > 0 }
        val upstreams = (present + removedButInUse).associateBy { it.info.id }.toPersistentMap()
        return state.copy(upstreams = upstreams).withMemberLists().withoutActions()
    }

    fun onRestrictionsChanged(state: ServingState, event: ServingEvent.RestrictionsChanged): ServingStep = state
        .copy(quarantine = event.quarantine.toPersistentSet(), setAside = event.setAside.toPersistentSet())
        .withoutActions()

    /** Returns [pieces] with [added] as the newest, and without the oldest ones beyond the limit. */
    fun addPieces(pieces: PersistentMap<Long, Unit>, added: List<Long>): PersistentMap<Long, Unit> {
        val extended = added.fold(pieces) { current, piece -> current.remove(piece).put(piece, Unit) }
        val surplus = extended.keys.take(maxOf(0, extended.size - MAX_CACHED_PIECES))
        return surplus.fold(extended) { current, piece -> current.remove(piece) }
    }

    /**
     * Returns [upstream] with no cached pieces and unknown health.
     *
     * A new incarnation starts with an empty cache, and the failures of the previous one say nothing about it.
     */
    private fun forgetPreviousIncarnation(upstream: UpstreamState): UpstreamState =
        upstream.copy(cachedPieceHashes = upstream.cachedPieceHashes.clear(), health = UpstreamHealth.UNKNOWN)

    private fun markLeaving(upstream: UpstreamState): UpstreamState =
        upstream.copy(info = upstream.info.copy(isLeaving = true))
}
