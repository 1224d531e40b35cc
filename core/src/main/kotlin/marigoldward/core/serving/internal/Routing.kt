package marigoldward.core.serving.internal

import marigoldward.core.config.UpstreamPool
import marigoldward.core.internal.RendezvousHashing
import marigoldward.core.model.EngineRole
import marigoldward.core.model.UpstreamKind
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.PrefixPieces
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.UpstreamState

/** Where work goes, by load reports that lag, own dispatches and cached prefixes. */
internal object Routing {
    private const val SPILL_MILLIS = 10.0
    private const val STREAM_MILLIS = 4.0
    private const val NEAR_MILLIS = 5.0
    private const val HOME_PART = 0.5

    /** A route, the prompt tokens that it has to read, and the generator's next state. */
    data class Choice(val route: Route, val prefillTokens: Long, val random: Long)

    /**
     * Returns the best route for [work], or null if nothing has room for it at [nowMillis].
     *
     * Work is privileged if it is of the first class or sent on its class's guaranteed share.
     */
    fun chooseOrNull(state: ServingState, work: PendingWork, isPrivileged: Boolean, nowMillis: Long): Choice? {
        val pool = state.pools[work.spec.pool] ?: return null
        if (pool.members.isEmpty()) return null
        val candidates = Candidates.of(state, pool, work, nowMillis)
        return if (pool.declaration.kind == UpstreamKind.SERVICE) {
            chooseService(candidates.upstreams, pool.declaration, state, candidates.random)
        } else {
            chooseEngine(candidates.upstreams, pool.declaration, state, work, isPrivileged, candidates.random)
        }
    }

    private fun chooseService(
        candidates: List<UpstreamState>,
        pool: UpstreamPool,
        state: ServingState,
        random: Long,
    ): Choice? {
        val free = candidates.filter { it.estimatedLoad.streams < pool.slots }
        val (chosen, next) = leastOfTwo(free, random) { it.estimatedLoad.streams + spillMillis(state, it) }
        return chosen?.let { Choice(Route.Whole(it.info.id), 0, next) }
    }

    private fun chooseEngine(
        candidates: List<UpstreamState>,
        pool: UpstreamPool,
        state: ServingState,
        work: PendingWork,
        isPrivileged: Boolean,
        random: Long,
    ): Choice? {
        val readers = candidates.filter { it.role != EngineRole.DECODE }
        val room = EngineRoom(state, pool, work, isPrivileged, readers)
        if (!room.hasRoomInPool(candidates)) return null
        val decoders = candidates.filter { it.role != EngineRole.PREFILL && room.hasRoomToDecode(it) }
        if (decoders.isEmpty()) return null
        val open = readers.filter(room::hasRoomToRead)
        val home = homeOrNull(readers, work)
        val (reader, afterReader) = leastOfTwo(open, random) {
            val localityMillis = if (it === home) homeBonusMillis(pool, work) else 0.0
            readMillis(it, pool, work) + decodeDelayMillis(it) + spillMillis(state, it) - localityMillis
        }
        if (reader == null) return null
        val prefillTokens = WorkCost.uncachedTokens(reader, work)
        if (reader.role == EngineRole.MIXED) {
            return Choice(Route.Whole(reader.info.id), prefillTokens, afterReader)
        }
        val (decoder, next) = leastOfTwo(decoders, afterReader) { decodeDelayMillis(it) + spillMillis(state, it) }
        return decoder?.let { Choice(Route.Split(reader.info.id, it.info.id), prefillTokens, next) }
    }

    private data class Pick(val upstream: UpstreamState?, val random: Long)

    /**
     * Returns the better of two random ones among the near-best, so that processes with the same reports
     * don't all choose the same upstream.
     */
    private fun leastOfTwo(upstreams: List<UpstreamState>, random: Long, score: (UpstreamState) -> Double): Pick {
        if (upstreams.isEmpty()) return Pick(null, random)
        val scored = upstreams.map { ScoredUpstream(it, score(it)) }
        val best = scored.minOf { it.score }
        val near = scored.filter { it.score <= best + NEAR_MILLIS }
        val first = draw(random, near.size)
        val second = draw(first.next, near.size)
        val pair = listOf(near[first.value], near[second.value])
        return Pick(pair.minBy { it.score }.upstream, second.next)
    }

    private data class ScoredUpstream(val upstream: UpstreamState, val score: Double)

    /** The engine at which all processes expect the prefix of [work] to be cached, if it has one. */
    private fun homeOrNull(readers: List<UpstreamState>, work: PendingWork): UpstreamState? {
        val key = work.spec.pieces.firstOrNull() ?: return null
        return readers.maxByOrNull { RendezvousHashing.weight(key, RendezvousHashing.hash(it.info.id.text)) }
    }

    /** What the home is preferred by; a longer queue than that sends the work elsewhere. */
    private fun homeBonusMillis(pool: UpstreamPool, work: PendingWork): Double =
        HOME_PART * WorkCost.prefillMillis(pool, work.spec.pieces.size * PrefixPieces.TOKENS_PER_PIECE)

    private fun readMillis(upstream: UpstreamState, pool: UpstreamPool, work: PendingWork): Double {
        val tokens = upstream.estimatedLoad.prefillTokens + WorkCost.uncachedTokens(upstream, work)
        return WorkCost.prefillMillis(pool, tokens) * upstream.health.slowness
    }

    private fun decodeDelayMillis(upstream: UpstreamState): Double = STREAM_MILLIS * upstream.estimatedLoad.streams

    private fun spillMillis(state: ServingState, upstream: UpstreamState): Double =
        if (upstream.info.dataCentre == state.dataCentre) 0.0 else SPILL_MILLIS
}
