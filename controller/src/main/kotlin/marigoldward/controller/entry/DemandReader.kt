package marigoldward.controller.entry

import marigoldward.core.Outcome
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.planning.DemandSample
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.entry.DemandReply
import marigoldward.wire.entry.DemandRequest
import marigoldward.wire.entry.EntryRpc
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import marigoldward.wire.rpc.RpcLimits
import java.net.InetSocketAddress

/**
 * Reads the demand totals of all entries and computes samples from their increases.
 *
 * The first reply of an entry adds nothing to the samples, since the period that its totals cover is not known. The
 * totals of an entry that has restarted start from zero.
 */
internal class DemandReader(entries: Map<InstanceId, InetSocketAddress>, identity: ClusterIdentity) : AutoCloseable {
    private val clients = entries.mapValues { RpcClient.to(it.value, identity) }
    private var lastReplies = emptyMap<InstanceId, DemandReply>()
    private var lastReadMillis = MonotonicClock.nowMillis()

    /** Returns the demand since the last call: for each pool, one sample for each priority class. */
    fun read(): Map<PoolName, List<DemandSample>> {
        val replies = clients.mapNotNull { (entry, client) ->
            val reply = client.call(EntryRpc.DEMAND, DemandRequest(), RpcLimits.SHORT_CALL_TIMEOUT_MILLIS)
            (reply as? Outcome.Success)?.let { entry to it.value }
        }.toMap()
        val nowMillis = MonotonicClock.nowMillis()
        val intervalMillis = maxOf(1, nowMillis - lastReadMillis)
        val increases = replies.flatMap { (entry, reply) -> increase(lastReplies[entry], reply) }
        lastReplies = lastReplies + replies
        lastReadMillis = nowMillis
        return increases.groupBy { it.pool }.mapNotNull { (pool, demands) ->
            PoolName.parseOrNull(pool)?.let { it to samples(demands, intervalMillis) }
        }.toMap()
    }

    private fun samples(demands: List<DemandReply.PoolDemand>, intervalMillis: Long): List<DemandSample> =
        demands.groupBy { it.rank }.map { (rank, ofRank) ->
            DemandSample(rank, ofRank.sumOf { it.prefillTokens }, ofRank.sumOf { it.decodeTokens }, intervalMillis)
        }

    override fun close() {
        clients.values.forEach(RpcClient::close)
    }

    private fun increase(previous: DemandReply?, current: DemandReply): List<DemandReply.PoolDemand> {
        if (previous == null) return emptyList()
        val previousPools =
            if (previous.run == current.run) previous.pools.associateBy { it.pool to it.rank } else emptyMap()
        return current.pools.map { pool ->
            pool.copy(
                prefillTokens = pool.prefillTokens - (previousPools[pool.pool to pool.rank]?.prefillTokens ?: 0),
                decodeTokens = pool.decodeTokens - (previousPools[pool.pool to pool.rank]?.decodeTokens ?: 0),
            )
        }
    }
}
