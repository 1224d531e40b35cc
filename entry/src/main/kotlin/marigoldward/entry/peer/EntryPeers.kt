package marigoldward.entry.peer

import io.grpc.ServerServiceDefinition
import io.grpc.stub.StreamObserver
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.serving.ServingEvent
import marigoldward.entry.control.ConfigurationHolder
import marigoldward.entry.operator.DemandCounter
import marigoldward.entry.serving.ServingLoop
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.distribution.DistributionUpdate
import marigoldward.wire.entry.EntryRpc
import marigoldward.wire.entry.PeerExchange
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import marigoldward.wire.rpc.RpcLimits
import marigoldward.wire.rpc.ServiceBuilder
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/**
 * Exchanges configuration revisions and quarantined fingerprints with the other entries.
 *
 * An entry is live if a message from it arrived within the last [LIVENESS_TIMEOUT_MILLIS]. The serving loop is told
 * when the set of live entries changes.
 */
internal class EntryPeers(
    private val self: InstanceId,
    private val dataCentre: DataCentre,
    peers: Map<InstanceId, InetSocketAddress>,
    identity: ClusterIdentity,
    private val configurationHolder: ConfigurationHolder,
    private val servingLoop: ServingLoop,
    demandCounter: DemandCounter,
) : AutoCloseable {
    private val peerClients = (peers - self).mapValues { RpcClient.to(it.value, identity) }
    private val lastHeardMillis = ConcurrentHashMap<InstanceId, Long>()
    private var liveEntries = listOf(self)

    /** The service for other entries, and for controllers that ask for the demand. */
    val service: ServerServiceDefinition =
        ServiceBuilder
            .named(EntryRpc.SERVICE)
            .unary(EntryRpc.EXCHANGE, ::answer)
            .unary(EntryRpc.DEMAND) { demandCounter.toReply() }
            .build()

    /** Sends this entry's revision and quarantine to all other entries. Must be called periodically. */
    fun exchange() {
        val exchange = toExchange(null)
        peerClients.values.forEach {
            it.callAsync(EntryRpc.EXCHANGE, exchange, RpcLimits.SHORT_CALL_TIMEOUT_MILLIS, AnswerObserver())
        }
        updateLiveEntries()
    }

    override fun close() {
        peerClients.values.forEach(RpcClient::close)
    }

    private fun answer(exchange: PeerExchange): PeerExchange {
        receive(exchange)
        val isBehind = exchange.revision < configurationHolder.revision
        return toExchange(if (isBehind) configurationHolder.newestUpdate else null)
    }

    private fun receive(exchange: PeerExchange) {
        lastHeardMillis[exchange.from] = MonotonicClock.nowMillis()
        if (exchange.quarantinedByEntries.isNotEmpty()) {
            configurationHolder.quarantine(exchange.quarantinedByEntries.toSet())
        }
        exchange.update?.let(configurationHolder::apply)
    }

    private fun toExchange(update: DistributionUpdate?): PeerExchange = PeerExchange(
        self,
        dataCentre,
        configurationHolder.revision,
        configurationHolder.reportedQuarantine.toList(),
        update,
    )

    private fun updateLiveEntries() {
        val nowMillis = MonotonicClock.nowMillis()
        val heardLately = peerClients.keys.filter {
            nowMillis - (lastHeardMillis[it] ?: Long.MIN_VALUE / 2) < LIVENESS_TIMEOUT_MILLIS
        }
        val current = (heardLately + self).sortedBy { it.text }
        if (current == liveEntries) return
        liveEntries = current
        servingLoop.put(ServingEvent.EntriesChanged(current))
    }

    private inner class AnswerObserver : StreamObserver<PeerExchange> {
        override fun onNext(value: PeerExchange) = receive(value)

        override fun onError(failure: Throwable) = Unit

        override fun onCompleted() = Unit
    }

    private companion object {
        const val LIVENESS_TIMEOUT_MILLIS = 4_000L
    }
}
