package marigoldward.core.serving.internal

import marigoldward.core.internal.RendezvousHashing
import marigoldward.core.model.InstanceId
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.UpstreamState

/** Which upstreams come into question for some work, apart from how busy they are. */
internal object Candidates {
    /** Pools of up to this many upstreams are looked at whole. */
    const val SCAN_LIMIT: Int = 48
    private const val HOME_CANDIDATES = 2

    /** Some upstreams of a pool, and the generator's next state. */
    data class Sample(val upstreams: List<UpstreamState>, val random: Long)

    /** Returns the upstreams that may take [work]; of a large pool, those of a sample. */
    fun of(state: ServingState, pool: ServingState.PoolState, work: PendingWork, nowMillis: Long): Sample {
        val sampled = sample(state, pool, work)
        return sampled.copy(upstreams = sampled.upstreams.filter { mayTake(state, it, work, nowMillis) })
    }

    /** Whether [upstream] may get any work, apart from how busy it is. */
    fun isUsable(state: ServingState, upstream: UpstreamState): Boolean = !upstream.info.isLeaving &&
        upstream.info.id !in state.setAside &&
        (upstream.report?.isAccepting ?: true)

    /** Small pools are looked at whole; of large ones the home of the prefix and a random part. */
    private fun sample(state: ServingState, pool: ServingState.PoolState, work: PendingWork): Sample {
        val members = pool.members
        if (members.size <= SCAN_LIMIT) {
            return Sample(members.map(state.upstreams::getValue), state.random)
        }
        var random = state.random
        val picked = LinkedHashSet<UpstreamId>()
        work.spec.pieces.firstOrNull()?.let { picked.addAll(homes(members, it)) }
        repeat(SCAN_LIMIT) {
            val drawn = draw(random, members.size)
            random = drawn.next
            picked.add(members[drawn.value])
        }
        return Sample(picked.map(state.upstreams::getValue), random)
    }

    private fun homes(members: List<UpstreamId>, key: Long): List<UpstreamId> {
        var best = members[0]
        var second = members[0]
        var bestWeight = Long.MIN_VALUE
        var secondWeight = Long.MIN_VALUE
        for (member in members) {
            val weight = RendezvousHashing.weight(key, RendezvousHashing.hash(member.text))
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
        return listOf(best, second).distinct().take(HOME_CANDIDATES)
    }

    private fun mayTake(state: ServingState, upstream: UpstreamState, work: PendingWork, nowMillis: Long): Boolean =
        isUsable(state, upstream) &&
            isHealthy(upstream, nowMillis) &&
            (!work.isSuspect || mayTakeSuspect(state, upstream))

    /** After an ejection one attempt at a time probes the upstream. */
    private fun isHealthy(upstream: UpstreamState, nowMillis: Long): Boolean {
        val health = upstream.health
        if (health.ejectedUntilMillis == Long.MIN_VALUE) return true
        return nowMillis >= health.ejectedUntilMillis && upstream.inFlight.isEmpty()
    }

    /** Suspects of one entry are kept apart from each other, and from those of other entries where there are enough. */
    private fun mayTakeSuspect(state: ServingState, upstream: UpstreamState): Boolean {
        val hasSuspect = upstream.inFlight.values.any { it.work.isSuspect }
        return !hasSuspect && (state.entries.size <= 1 || isOwnForSuspects(state, upstream))
    }

    private fun isOwnForSuspects(state: ServingState, upstream: UpstreamState): Boolean {
        val pool = state.pools[upstream.info.pool] ?: return true
        if (pool.members.size < state.entries.size) return true
        val position = pool.members.indexOf(upstream.info.id)
        val entry = state.entries.sortedBy(InstanceId::text).indexOf(state.self)
        return position % state.entries.size == entry
    }
}
