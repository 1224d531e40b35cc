package marigoldward.core.dispatch

import marigoldward.core.model.PoolName

/**
 * Estimates how long engines keep cached prefixes, from the requests that one gateway sends.
 *
 * An engine evicts the least recently used tokens when it needs memory. The estimator counts the new tokens that the
 * gateway sends to all engines of a stage, and assumes that every other gateway sends as many.
 */
internal class CacheRetentionEstimator {
    private data class Group(val service: PoolName, val stage: EngineStage?)

    private var retentions = emptyMap<Group, CacheRetention>()

    /**
     * Records that [engines] engines like [listed] cache [capacityTokens] tokens each and serve [gateways] gateways.
     */
    fun recordCapacity(listed: ListedUpstream, capacityTokens: Long, engines: Int, gateways: Int) {
        val keptTokens = (capacityTokens * PREFIX_CACHE_FRACTION * engines / maxOf(1, gateways)).toLong()
        update(listed) { it.copy(keptTokens = keptTokens) }
    }

    /** Records that an engine like [listed] was sent [tokens] tokens that it had not cached. */
    fun recordSentTokens(listed: ListedUpstream, tokens: Int) =
        update(listed) { it.copy(sentTokens = it.sentTokens + tokens) }

    /** Returns the retention of engines of the same service and stage as [listed]. */
    fun retentionOf(listed: ListedUpstream): CacheRetention = retentions[groupOf(listed)] ?: CacheRetention.UNKNOWN

    private fun update(listed: ListedUpstream, change: (CacheRetention) -> CacheRetention) {
        retentions = retentions + (groupOf(listed) to change(retentionOf(listed)))
    }

    private fun groupOf(listed: ListedUpstream) = Group(listed.service, listed.stage)

    private companion object {
        /** The part of an engine's memory that holds cached prefixes; running requests take the rest. */
        const val PREFIX_CACHE_FRACTION = 0.7
    }
}
