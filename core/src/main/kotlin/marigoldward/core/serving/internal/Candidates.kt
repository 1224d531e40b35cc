package marigoldward.core.serving.internal

import marigoldward.core.internal.RendezvousHashing
import marigoldward.core.model.InstanceId
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.UpstreamState

/** Selects the upstreams that may take a request, regardless of their load. */
internal object Candidates {
    /** The size up to which all upstreams of a pool are considered; larger pools are sampled. */
    const val MAX_UNSAMPLED_UPSTREAMS: Int = 48
    private const val PREFERRED_UPSTREAM_COUNT = 2

    /** Upstreams of a pool, and the next state of the random generator. */
    data class Sample(val upstreams: List<UpstreamState>, val randomState: Long)

    /** Returns the upstreams that may take [work]; of a large pool, only those in a random sample. */
    fun forWork(state: ServingState, pool: ServingState.PoolState, work: PendingWork, nowMillis: Long): Sample {
        val sampled = sample(state, pool, work)
        val usable = sampled.upstreams.filter { mayTake(state, it, nowMillis) }
        if (!work.isSuspect) return sampled.copy(upstreams = usable)
        val withSuspect = upstreamsWithSuspect(state, pool)
        val upstreams = usable.filter { it.info.id !in withSuspect && isForSuspectsOfThisEntry(state, it) }
        return sampled.copy(upstreams = upstreams)
    }

    /** Returns whether [upstream] may get any requests, regardless of its health and load. */
    fun isUsable(state: ServingState, upstream: UpstreamState): Boolean = !upstream.info.isLeaving &&
        upstream.info.id !in state.setAside &&
        (upstream.report?.isAccepting ?: true)

    /**
     * Returns all upstreams of a small pool.
     *
     * Of a large pool, returns the preferred upstreams for the prefix of [work] and a random sample.
     */
    private fun sample(state: ServingState, pool: ServingState.PoolState, work: PendingWork): Sample {
        val members = pool.members
        if (members.size <= MAX_UNSAMPLED_UPSTREAMS) {
            return Sample(members.map(state.upstreams::getValue), state.randomState)
        }
        var randomState = state.randomState
        val picked = LinkedHashSet<UpstreamId>()
        work.spec.pieceHashes.firstOrNull()?.let { picked.addAll(preferredUpstreams(members, it)) }
        repeat(MAX_UNSAMPLED_UPSTREAMS) {
            val drawn = draw(randomState, members.size)
            randomState = drawn.nextState
            picked.add(members[drawn.value])
        }
        return Sample(picked.map(state.upstreams::getValue), randomState)
    }

    private fun preferredUpstreams(members: List<UpstreamId>, prefixHash: Long): List<UpstreamId> {
        var best = members[0]
        var second = members[0]
        var bestWeight = Long.MIN_VALUE
        var secondWeight = Long.MIN_VALUE
        for (member in members) {
            val weight = RendezvousHashing.weight(prefixHash, RendezvousHashing.hash(member.text))
            if (weight > bestWeight) {
                second = best
                secondWeight = bestWeight
                best = member
                bestWeight = weight
            } else if (weight > secondWeight) {
                second = member
                secondWeight = weight
            }
        }
        return listOf(best, second).distinct().take(PREFERRED_UPSTREAM_COUNT)
    }

    private fun mayTake(state: ServingState, upstream: UpstreamState, nowMillis: Long): Boolean =
        isUsable(state, upstream) && isHealthyOrMayBeProbed(upstream, nowMillis)

    /** Returns whether [upstream] is not ejected; after an ejection, one attempt at a time may probe it. */
    private fun isHealthyOrMayBeProbed(upstream: UpstreamState, nowMillis: Long): Boolean {
        val health = upstream.health
        if (health.ejectedUntilMillis == Long.MIN_VALUE) return true
        return nowMillis >= health.ejectedUntilMillis && upstream.inFlight.isEmpty()
    }

    /**
     * Returns the upstreams of [pool] that run a suspect of this entry, be it that they prefill or that they answer it.
     *
     * An upstream takes one suspect of an entry at a time, so that a second crash can be attributed to one request.
     */
    private fun upstreamsWithSuspect(state: ServingState, pool: ServingState.PoolState): Set<UpstreamId> = pool.members
        .flatMap { state.upstreams.getValue(it).inFlight.values }
        .filter { it.work.isSuspect }
        .flatMap { it.runningUpstreams }
        .toSet()

    /**
     * Returns whether this entry may send suspects to [upstream].
     *
     * To keep the suspects of several entries apart, each entry uses only the upstreams assigned to it, provided that the
     * pool has enough of them.
     */
    private fun isForSuspectsOfThisEntry(state: ServingState, upstream: UpstreamState): Boolean =
        state.entries.size <= 1 || isAssignedForSuspects(state, upstream)

    private fun isAssignedForSuspects(state: ServingState, upstream: UpstreamState): Boolean {
        val pool = state.pools[upstream.info.pool] ?: return true
        if (pool.members.size < state.entries.size) return true
        val position = pool.members.indexOf(upstream.info.id)
        val entryPosition = state.entries.sortedBy(InstanceId::text).indexOf(state.self)
        return position % state.entries.size == entryPosition
    }
}
