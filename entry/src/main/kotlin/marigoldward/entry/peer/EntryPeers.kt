package marigoldward.entry.peer

import io.grpc.ServerServiceDefinition
import io.grpc.stub.StreamObserver
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.serving.ServingEvent
import marigoldward.entry.control.ConfigurationHolder
import marigoldward.entry.operator.DemandCounter
import marigoldward.entry.serving.ServingDuty
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.entry.EntryRpc
import marigoldward.wire.entry.PeerExchange
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import marigoldward.wire.rpc.RpcLimits
import marigoldward.wire.rpc.ServiceBuilder
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Exchanges revisions and quarantined fingerprints with the other entries, and knows which of them are live. */
internal class EntryPeers(
    private val self: InstanceId,
    private val dataCentre: DataCentre,
    peers: Map<InstanceId, InetSocketAddress>,
    identity: ClusterIdentity,
    private val holder: ConfigurationHolder,
    private val serving: ServingDuty,
    demand: DemandCounter,
) : AutoCloseable {
    private val clients = (peers - self).mapValues { RpcClient.to(it.value, identity) }
    private val heardMillis = ConcurrentHashMap<InstanceId, Long>()
    private var live = listOf(self)

    val service: ServerServiceDefinition =
        ServiceBuilder
            .named(EntryRpc.SERVICE)
            .unary(EntryRpc.EXCHANGE, ::answer)
            .unary(EntryRpc.DEMAND) { demand.reply() }
            .build()

    /** Tells every other entry what is known here. Called by the timer. */
    fun exchange() {
        val exchange = message(null)
        clients.values.forEach {
            it.callAsync(EntryRpc.EXCHANGE, exchange, RpcLimits.SHORT_CALL_TIMEOUT_MILLIS, Answer())
        }
        updateLive()
    }

    override fun close() {
        clients.values.forEach(RpcClient::close)
    }

    private fun answer(exchange: PeerExchange): PeerExchange {
        take(exchange)
        val isBehind = exchange.revision < holder.revision
        return message(if (isBehind) holder.newest else null)
    }

    private fun take(exchange: PeerExchange) {
        heardMillis[exchange.from] = MonotonicClock.nowMillis()
        if (exchange.quarantinedByEntries.isNotEmpty()) holder.convict(exchange.quarantinedByEntries.toSet())
        exchange.update?.let(holder::apply)
    }

    private fun message(update: marigoldward.wire.distribution.DistributionUpdate?): PeerExchange =
        PeerExchange(self, dataCentre, holder.revision, holder.convicted.toList(), update)

    private fun updateLive() {
        val nowMillis = MonotonicClock.nowMillis()
        val heard = clients.keys.filter { nowMillis - (heardMillis[it] ?: Long.MIN_VALUE / 2) < LIVE_MILLIS }
        val current = (heard + self).sortedBy { it.text }
        if (current == live) return
        live = current
        serving.put(ServingEvent.EntriesChanged(current))
    }

    private inner class Answer : StreamObserver<PeerExchange> {
        override fun onNext(value: PeerExchange) = take(value)

        override fun onError(failure: Throwable) = Unit

        override fun onCompleted() = Unit
    }

    private companion object {
        const val LIVE_MILLIS = 4_000L
    }
}
