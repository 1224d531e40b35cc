package marigoldward.entry.operator

import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.planning.UncachedShare
import marigoldward.core.serving.RequestSpec
import marigoldward.wire.entry.DemandReply

/** Counts the tokens that callers ask for by pool and class, for role planning. */
internal class DemandCounter(private val self: InstanceId) {
    private data class DemandKey(val pool: PoolName, val rank: Int)

    private data class Demand(val prefillTokens: Long, val decodeTokens: Long, val cachedPart: UncachedShare)

    private val run = System.nanoTime()
    private var demands = emptyMap<DemandKey, Demand>()

    /** Counts a request that came, whether or not it will be served. */
    @Synchronized
    fun arrived(spec: RequestSpec) {
        val demand = demandOf(spec)
        val counted =
            demand.copy(
                prefillTokens = demand.prefillTokens + demand.cachedPart.expectedPrefillTokens(spec.promptTokens),
                decodeTokens = demand.decodeTokens + spec.outputTokens,
            )
        demands = demands + (keyOf(spec) to counted)
    }

    /** Notes how much of a prompt has to be read at the upstream that it was sent to. */
    @Synchronized
    fun dispatched(spec: RequestSpec, prefillTokens: Long) {
        val demand = demandOf(spec)
        val noted = demand.copy(cachedPart = demand.cachedPart.observed(spec.promptTokens, prefillTokens))
        demands = demands + (keyOf(spec) to noted)
    }

    @Synchronized
    fun reply(): DemandReply {
        val counts = demands.map { (key, demand) ->
            DemandReply.PoolDemand(key.pool.text, key.rank, demand.prefillTokens, demand.decodeTokens)
        }
        return DemandReply(self, run, counts)
    }

    private fun keyOf(spec: RequestSpec): DemandKey = DemandKey(spec.pool, spec.priority.rank)

    private fun demandOf(spec: RequestSpec): Demand = demands[keyOf(spec)] ?: Demand(0, 0, UncachedShare.NOTHING_CACHED)
}
