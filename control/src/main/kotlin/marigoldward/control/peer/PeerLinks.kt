package marigoldward.control.peer

import io.grpc.stub.StreamObserver
import io.prometheus.metrics.core.metrics.Counter
import marigoldward.core.Outcome
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.support.duty.Duty
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.peer.JoinAnnouncement
import marigoldward.wire.peer.JoinReply
import marigoldward.wire.peer.PeerEnvelope
import marigoldward.wire.peer.PeerRpc
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/**
 * Sends replication messages to the other replicas. Messages that can't be delivered are dropped.
 *
 * @param addressOrNull where an instance is reached, or null if that is not known
 * @param news what else to tell the others
 */
internal class PeerLinks(
    private val self: InstanceId,
    private val identity: ClusterIdentity,
    private val addressOrNull: (InstanceId) -> InetSocketAddress?,
    private val news: PeerNews,
) : AutoCloseable {
    private val links = ConcurrentHashMap<InstanceId, PeerLink>()

    fun send(from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        linkOrNull(to.name)?.send(from, to, message)
    }

    /** Tells [peers] that [replica] waits to be taken in; [onReply] gets their answers. */
    fun announce(
        replica: ReplicaId,
        dataCentre: DataCentre?,
        peers: Collection<InstanceId>,
        onReply: (JoinReply) -> Unit = {},
    ) {
        peers.forEach { linkOrNull(it)?.announce(JoinAnnouncement(replica, dataCentre), onReply) }
    }

    override fun close() {
        links.values.forEach(PeerLink::close)
    }

    private fun linkOrNull(name: InstanceId): PeerLink? {
        if (name == self) return null
        links[name]?.let { return it }
        val address = addressOrNull(name) ?: return null
        return links.computeIfAbsent(name) { PeerLink(name, address, identity, news) }
    }
}

/** The link to one other replica: one thread behind a bounded ring. */
private class PeerLink(
    name: InstanceId,
    private val address: InetSocketAddress,
    private val identity: ClusterIdentity,
    private val news: PeerNews,
) : AutoCloseable {
    private data class Outgoing(val from: ReplicaId, val to: ReplicaId, val message: ReplicaMessage)

    @Volatile
    private var client = RpcClient.to(address, identity)
    private var openedMillis = MonotonicClock.nowMillis()
    private var toldEdition: Long? = null
    private val duty: Duty<Outgoing> = Duty.start("peer-$name", RING_MESSAGES, ::deliver)

    fun send(from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        if (!duty.offer(Outgoing(from, to, message))) dropped.inc()
    }

    fun announce(announcement: JoinAnnouncement, onReply: (JoinReply) -> Unit) {
        client.callAsync(PeerRpc.JOIN, announcement, DELIVERY_MILLIS, JoinAnswer(onReply))
    }

    override fun close() {
        duty.close()
        client.close()
    }

    /**
     * Sends the batch in order and waits for each part, so that what waits is bounded by the ring.
     *
     * Calls that overtake each other make followers refuse entries, and the leader then sends them all again.
     */
    private fun deliver(batch: List<Outgoing>) {
        batch.chunked(MAX_ENVELOPE_MESSAGES).forEach { part ->
            part.groupBy { Ends(it.from, it.to) }.forEach { (ends, messages) ->
                val directory = news.directoryOrNull(toldEdition)
                val envelope = PeerEnvelope(ends.from, ends.to, messages.map { it.message }, news.entries(), directory)
                val reply = client.call(PeerRpc.DELIVER, envelope, DELIVERY_MILLIS)
                toldEdition = directory?.edition.takeIf { reply is Outcome.Success }
                if (reply is Outcome.Failure) undelivered(messages.size)
            }
        }
    }

    /** A connection may have gone silent while a new one would work, so a failure opens another. */
    @Synchronized
    private fun undelivered(messages: Int) {
        dropped.inc(messages.toLong())
        reopen()
    }

    @Synchronized
    private fun reopen() {
        val nowMillis = MonotonicClock.nowMillis()
        if (nowMillis - openedMillis < MIN_CONNECTION_MILLIS) return
        openedMillis = nowMillis
        val broken = client
        client = RpcClient.to(address, identity)
        broken.close()
    }

    private data class Ends(val from: ReplicaId, val to: ReplicaId)

    private inner class JoinAnswer(private val onReply: (JoinReply) -> Unit) : StreamObserver<JoinReply> {
        override fun onNext(value: JoinReply) = onReply(value)

        override fun onError(failure: Throwable) = undelivered(1)

        override fun onCompleted() = Unit
    }

    private companion object {
        const val RING_MESSAGES = 1_024
        const val MAX_ENVELOPE_MESSAGES = 32

        /** Below the shortest election timeout, so that a silent connection is replaced before a leader is missed. */
        const val DELIVERY_MILLIS = 600L

        /** How long a connection gets before another is tried, in milliseconds. */
        const val MIN_CONNECTION_MILLIS = 500L
        val dropped: Counter =
            Counter
                .builder()
                .name("marigoldward_peer_messages_dropped_total")
                .help("Replication messages that were not delivered")
                .register()
    }
}
