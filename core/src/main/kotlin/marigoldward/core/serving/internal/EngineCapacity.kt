package marigoldward.core.serving.internal

import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.EngineRole
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.UpstreamState

/**
 * Decides which engines have capacity for [work], such that the highest class never waits long behind lower ones.
 *
 * @property isPrivileged whether the work is of the highest class or sent on its class's guaranteed share
 * @property prefillEngines the engines that can prefill prompts
 */
internal class EngineCapacity(
    private val state: ServingState,
    private val pool: UpstreamPool,
    private val work: PendingWork,
    private val isPrivileged: Boolean,
    private val prefillEngines: List<UpstreamState>,
) {
    /**
     * Returns whether the pool, whose usable engines are [candidates], can take one more stream.
     *
     * Always true for a large pool, of which [candidates] are only a sample.
     */
    fun hasPoolCapacity(candidates: List<UpstreamState>): Boolean {
        if (state.pools.getValue(pool.name).members.size > Candidates.MAX_UNSAMPLED_UPSTREAMS) return true
        return PoolCapacity.hasCapacity(state, candidates, streamsPerEngine(), isPrivileged)
    }

    /** Returns whether [upstream] can take the prompt and, if it is a mixed engine, the stream. */
    fun canPrefill(upstream: UpstreamState): Boolean {
        val alsoDecodes = upstream.role == EngineRole.MIXED
        if (alsoDecodes && !canDecode(upstream)) return false
        if (isPrivileged) return isBacklogWithin(PRIVILEGED_BACKLOG_SHARE, upstream)
        if (isReservedForShortPrompts(upstream)) {
            return isShortPrompt(upstream) && isBacklogWithin(RESERVED_BACKLOG_SHARE, upstream)
        }
        val share = if (prefillEngines.size == 1) RESERVED_BACKLOG_SHARE else ORDINARY_BACKLOG_SHARE
        return isBacklogWithin(share, upstream)
    }

    /** Returns whether [upstream] has a free slot and enough free KV cache for the stream. */
    fun canDecode(upstream: UpstreamState): Boolean {
        val load = upstream.estimatedLoad
        return load.streams < streamsPerEngine() && load.kvTokens + work.spec.kvTokens <= pool.kvCapacityTokens
    }

    /**
     * Returns the number of streams that one engine may have.
     *
     * Ordinary work leaves a part of the slots free. Privileged work may also queue at the engine itself, where it is
     * served before requests that other processes send later.
     */
    private fun streamsPerEngine(): Int =
        if (isPrivileged) pool.slots + PRIVILEGED_QUEUED_STREAMS else pool.slots - pool.slots / SLOTS_PER_RESERVED_SLOT

    /**
     * Returns whether the prefill backlog of [upstream] takes at most [share] of the first-token target of the highest
     * class.
     *
     * All processes see the same reports, so each adds no more than its part of what the last report left free.
     */
    private fun isBacklogWithin(share: Double, upstream: UpstreamState): Boolean {
        val limitMillis = share * state.configuration.classes.first().firstTokenTargetMillis
        val load = upstream.estimatedLoad
        if (WorkCost.prefillMillis(pool, load.prefillTokens) > limitMillis) return false
        val tokensSentSinceReport = maxOf(0, upstream.ownLoad.prefillTokens - upstream.ownLoadAtReport.prefillTokens)
        val reportedMillis = WorkCost.prefillMillis(pool, load.prefillTokens - tokensSentSinceReport)
        val ownMillis = WorkCost.prefillMillis(pool, tokensSentSinceReport)
        return tokensSentSinceReport == 0L || ownMillis * state.entries.size <= limitMillis - reportedMillis
    }

    /** Returns whether the prefill of [work] is short enough for the highest class to wait behind it. */
    private fun isShortPrompt(upstream: UpstreamState): Boolean {
        val limitMillis = RESERVED_BACKLOG_SHARE * state.configuration.classes.first().firstTokenTargetMillis
        return WorkCost.prefillMillis(pool, WorkCost.uncachedTokens(upstream, work)) <= limitMillis
    }

    /**
     * Returns whether [upstream] takes no long prompts of lower classes.
     *
     * On such engines the highest class never waits behind a long prompt.
     *
     * All processes reserve the same engines: the first part of the prefill engines in the order of their ids. None is
     * reserved while the highest class is inactive, or if there is only one prefill engine.
     */
    private fun isReservedForShortPrompts(upstream: UpstreamState): Boolean {
        val isTopClassActive = state.pools.getValue(pool.name).isTopClassActive
        if (!isTopClassActive || prefillEngines.size == 1) return false
        val reservedCount = maxOf(1, prefillEngines.size / ENGINES_PER_RESERVED_ENGINE)
        val position = prefillEngines.count { it.info.id.text < upstream.info.id.text }
        return position < reservedCount
    }

    private companion object {
        const val PRIVILEGED_BACKLOG_SHARE = 0.6
        const val RESERVED_BACKLOG_SHARE = 0.25
        const val ORDINARY_BACKLOG_SHARE = 0.75
        const val ENGINES_PER_RESERVED_ENGINE = 4
        const val PRIVILEGED_QUEUED_STREAMS = 2
        const val SLOTS_PER_RESERVED_SLOT = 8
    }
}
