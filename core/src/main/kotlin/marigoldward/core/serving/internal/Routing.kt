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

/** Chooses upstreams by their latest load reports, the attempts sent since then and the prefixes they cache. */
internal object Routing {
    private const val REMOTE_DATA_CENTRE_MILLIS = 10.0
    private const val DECODE_DELAY_PER_STREAM_MILLIS = 4.0
    private const val NEAR_BEST_MILLIS = 5.0
    private const val PREFIX_AFFINITY_SHARE = 0.5

    /** A route, the prompt tokens to prefill on it, and the next state of the random generator. */
    data class Choice(val route: Route, val prefillTokens: Long, val randomState: Long)

    /**
     * Returns the best route for [work], or null if no upstream has capacity for it at [nowMillis].
     *
     * Work is privileged if it is of the highest class or sent on its class's guaranteed share.
     */
    fun chooseOrNull(state: ServingState, work: PendingWork, isPrivileged: Boolean, nowMillis: Long): Choice? {
        val pool = state.pools[work.spec.pool] ?: return null
        if (pool.members.isEmpty()) return null
        val candidates = Candidates.forWork(state, pool, work, nowMillis)
        return if (pool.declaration.kind == UpstreamKind.SERVICE) {
            chooseService(candidates.upstreams, pool.declaration, state, candidates.randomState)
        } else {
            chooseEngine(candidates.upstreams, pool.declaration, state, work, isPrivileged, candidates.randomState)
        }
    }

    private fun chooseService(
        candidates: List<UpstreamState>,
        pool: UpstreamPool,
        state: ServingState,
        randomState: Long,
    ): Choice? {
        val withFreeSlot = candidates.filter { it.estimatedLoad.streams < pool.slots }
        val (chosen, next) = betterOfTwo(withFreeSlot, randomState) {
            it.estimatedLoad.streams + remotePenaltyMillis(state, it)
        }
        return chosen?.let { Choice(Route.Single(it.info.id), 0, next) }
    }

    private fun chooseEngine(
        candidates: List<UpstreamState>,
        pool: UpstreamPool,
        state: ServingState,
        work: PendingWork,
        isPrivileged: Boolean,
        randomState: Long,
    ): Choice? {
        val prefillEngines = candidates.filter { it.role != EngineRole.DECODE }
        val capacity = EngineCapacity(state, pool, work, isPrivileged, prefillEngines)
        if (!capacity.hasPoolCapacity(candidates)) return null
        val decodeEngines = candidates.filter { it.role != EngineRole.PREFILL && capacity.canDecode(it) }
        if (decodeEngines.isEmpty()) return null
        val withCapacity = prefillEngines.filter(capacity::canPrefill)
        val preferred = preferredEngineOrNull(prefillEngines, work)
        val (prefillEngine, nextRandomState) = betterOfTwo(withCapacity, randomState) {
            val affinityMillis = if (it === preferred) prefixAffinityMillis(pool, work) else 0.0
            prefillDelayMillis(it, pool, work) + decodeDelayMillis(it) + remotePenaltyMillis(state, it) - affinityMillis
        }
        if (prefillEngine == null) return null
        val prefillTokens = WorkCost.uncachedTokens(prefillEngine, work)
        if (prefillEngine.role == EngineRole.MIXED) {
            return Choice(Route.Single(prefillEngine.info.id), prefillTokens, nextRandomState)
        }
        val (decodeEngine, next) = betterOfTwo(decodeEngines, nextRandomState) {
            decodeDelayMillis(it) + remotePenaltyMillis(state, it)
        }
        return decodeEngine?.let { Choice(Route.Split(prefillEngine.info.id, it.info.id), prefillTokens, next) }
    }

    private data class Pick(val upstream: UpstreamState?, val randomState: Long)

    /**
     * Returns the better of two upstreams picked at random from those whose score is close to the lowest.
     *
     * The random picks keep processes that see the same reports from all choosing the same upstream.
     */
    private fun betterOfTwo(upstreams: List<UpstreamState>, randomState: Long, score: (UpstreamState) -> Double): Pick {
        if (upstreams.isEmpty()) return Pick(null, randomState)
        val scored = upstreams.map { ScoredUpstream(it, score(it)) }
        val best = scored.minOf { it.score }
        val nearBest = scored.filter { it.score <= best + NEAR_BEST_MILLIS }
        val first = draw(randomState, nearBest.size)
        val second = draw(first.nextState, nearBest.size)
        val pair = listOf(nearBest[first.value], nearBest[second.value])
        return Pick(pair.minBy { it.score }.upstream, second.nextState)
    }

    private data class ScoredUpstream(val upstream: UpstreamState, val score: Double)

    /**
     * Returns the engine that all processes prefer for the prefix of [work], or null if the prompt has no hashed piece.
     *
     * The engine is chosen by rendezvous hashing, so that all processes expect the prefix in the same cache.
     */
    private fun preferredEngineOrNull(prefillEngines: List<UpstreamState>, work: PendingWork): UpstreamState? {
        val prefixHash = work.spec.pieceHashes.firstOrNull() ?: return null
        return prefillEngines.maxByOrNull {
            RendezvousHashing.weight(prefixHash, RendezvousHashing.hash(it.info.id.text))
        }
    }

    /** Returns how much longer the delay at the preferred engine may be than elsewhere, in milliseconds. */
    private fun prefixAffinityMillis(pool: UpstreamPool, work: PendingWork): Double =
        PREFIX_AFFINITY_SHARE * WorkCost.prefillMillis(pool, work.spec.pieceHashes.size * PrefixPieces.TOKENS_PER_PIECE)

    private fun prefillDelayMillis(upstream: UpstreamState, pool: UpstreamPool, work: PendingWork): Double {
        val tokens = upstream.estimatedLoad.prefillTokens + WorkCost.uncachedTokens(upstream, work)
        return WorkCost.prefillMillis(pool, tokens) * upstream.health.prefillSlowdown
    }

    private fun decodeDelayMillis(upstream: UpstreamState): Double =
        DECODE_DELAY_PER_STREAM_MILLIS * upstream.estimatedLoad.streams

    private fun remotePenaltyMillis(state: ServingState, upstream: UpstreamState): Double =
        if (upstream.info.dataCentre == state.dataCentre) 0.0 else REMOTE_DATA_CENTRE_MILLIS
}
