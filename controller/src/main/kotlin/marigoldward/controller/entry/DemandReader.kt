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

/** Reads the demand of all entries and turns their totals into samples. */
internal class DemandReader(entries: Map<InstanceId, InetSocketAddress>, identity: ClusterIdentity) : AutoCloseable {
    private val clients = entries.mapValues { RpcClient.to(it.value, identity) }
    private var last = emptyMap<InstanceId, DemandReply>()
    private var lastMillis = MonotonicClock.nowMillis()

    /** Returns what the classes demanded of each pool since the last call. */
    fun read(): Map<PoolName, List<DemandSample>> {
        val replies = clients.mapNotNull { (entry, client) ->
            val reply = client.call(EntryRpc.DEMAND, DemandRequest(), RpcLimits.SHORT_CALL_TIMEOUT_MILLIS)
            (reply as? Outcome.Success)?.let { entry to it.value }
        }.toMap()
        val nowMillis = MonotonicClock.nowMillis()
        val intervalMillis = maxOf(1, nowMillis - lastMillis)
        val grown = replies.flatMap { (entry, reply) -> growth(last[entry], reply) }
        last = last + replies
        lastMillis = nowMillis
        return grown.groupBy { it.pool }.mapNotNull { (pool, parts) ->
            PoolName.parseOrNull(pool)?.let { it to samples(parts, intervalMillis) }
        }.toMap()
    }

    private fun samples(parts: List<DemandReply.PoolDemand>, intervalMillis: Long): List<DemandSample> =
        parts.groupBy { it.rank }.map { (rank, own) ->
            DemandSample(rank, own.sumOf { it.prefillTokens }, own.sumOf { it.decodeTokens }, intervalMillis)
        }

    override fun close() {
        clients.values.forEach(RpcClient::close)
    }

    private fun growth(before: DemandReply?, now: DemandReply): List<DemandReply.PoolDemand> {
        if (before == null) return emptyList()
        val earlier = if (before.run == now.run) before.pools.associateBy { it.pool to it.rank } else emptyMap()
        return now.pools.map { pool ->
            pool.copy(
                prefillTokens = pool.prefillTokens - (earlier[pool.pool to pool.rank]?.prefillTokens ?: 0),
                decodeTokens = pool.decodeTokens - (earlier[pool.pool to pool.rank]?.decodeTokens ?: 0),
            )
        }
    }
}
