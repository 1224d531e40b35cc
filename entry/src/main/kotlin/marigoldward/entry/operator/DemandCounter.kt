package marigoldward.entry.operator

import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.planning.UncachedShare
import marigoldward.core.serving.RequestSpec
import marigoldward.wire.entry.DemandReply

/** Counts the tokens that callers request, by pool and priority class, for the planning of engine roles. */
internal class DemandCounter(private val self: InstanceId) {
    private data class DemandKey(val pool: PoolName, val rank: Int)

    private data class Demand(val prefillTokens: Long, val decodeTokens: Long, val uncachedShare: UncachedShare)

    private val runId = System.nanoTime()
    private var demandByKey = emptyMap<DemandKey, Demand>()

    /** Counts a request on arrival, whether or not it will be served. */
    @Synchronized
    fun recordArrival(spec: RequestSpec) {
        val demand = demandOf(spec)
        val updated =
            demand.copy(
                prefillTokens = demand.prefillTokens + demand.uncachedShare.expectedPrefillTokens(spec.promptTokens),
                decodeTokens = demand.decodeTokens + spec.outputTokens,
            )
        demandByKey = demandByKey + (keyOf(spec) to updated)
    }

    /** Takes account of the [prefillTokens] of the prompt that are not cached at the upstream it was sent to. */
    @Synchronized
    fun recordDispatch(spec: RequestSpec, prefillTokens: Long) {
        val demand = demandOf(spec)
        val updated = demand.copy(uncachedShare = demand.uncachedShare.observed(spec.promptTokens, prefillTokens))
        demandByKey = demandByKey + (keyOf(spec) to updated)
    }

    /** Returns the totals since the start of this process. */
    @Synchronized
    fun toReply(): DemandReply {
        val counts = demandByKey.map { (key, demand) ->
            DemandReply.PoolDemand(key.pool.text, key.rank, demand.prefillTokens, demand.decodeTokens)
        }
        return DemandReply(self, runId, counts)
    }

    private fun keyOf(spec: RequestSpec): DemandKey = DemandKey(spec.pool, spec.priority.rank)

    private fun demandOf(spec: RequestSpec): Demand =
        demandByKey[keyOf(spec)] ?: Demand(0, 0, UncachedShare.NOTHING_CACHED)
}
