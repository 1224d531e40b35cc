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
 * @param addressOrNull returns the address of an instance, or null if it is not known
 * @param sharedState the state to send to the others along with the messages
 */
internal class PeerLinks(
    private val self: InstanceId,
    private val identity: ClusterIdentity,
    private val addressOrNull: (InstanceId) -> InetSocketAddress?,
    private val sharedState: SharedStateSource,
) : AutoCloseable {
    private val links = ConcurrentHashMap<InstanceId, PeerLink>()

    fun send(from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        linkOrNull(to.name)?.send(from, to, message)
    }

    /**
     * Announces to [peers] that [replica] waits to be added as a member. [onReply] is called with each reply and its
     * sender.
     */
    fun announce(
        replica: ReplicaId,
        dataCentre: DataCentre?,
        peers: Collection<InstanceId>,
        onReply: (InstanceId, JoinReply) -> Unit = { _, _ -> },
    ) {
        peers.forEach { peer ->
            linkOrNull(peer)?.announce(JoinAnnouncement(replica, dataCentre)) { reply -> onReply(peer, reply) }
        }
    }

    override fun close() {
        links.values.forEach(PeerLink::close)
    }

    private fun linkOrNull(name: InstanceId): PeerLink? {
        if (name == self) return null
        links[name]?.let { return it }
        val address = addressOrNull(name) ?: return null
        return links.computeIfAbsent(name) { PeerLink(name, address, identity, sharedState) }
    }
}

/** The link to the replica of one other instance: a thread behind a bounded ring. */
private class PeerLink(
    name: InstanceId,
    private val address: InetSocketAddress,
    private val identity: ClusterIdentity,
    private val sharedState: SharedStateSource,
) : AutoCloseable {
    private data class Outgoing(val from: ReplicaId, val to: ReplicaId, val message: ReplicaMessage)

    @Volatile
    private var client = RpcClient.to(address, identity)
    private var openedMillis = MonotonicClock.nowMillis()
    private var sentEdition: Long? = null
    private val thread: Duty<Outgoing> = Duty.start("peer-$name", RING_MESSAGES, ::deliver)

    fun send(from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        if (!thread.offer(Outgoing(from, to, message))) droppedMessages.inc()
    }

    fun announce(announcement: JoinAnnouncement, onReply: (JoinReply) -> Unit) {
        client.callAsync(PeerRpc.JOIN, announcement, DELIVERY_TIMEOUT_MILLIS, JoinAnswer(onReply))
    }

    override fun close() {
        thread.close()
        client.close()
    }

    /**
     * Sends the batch in order and waits for the reply to each envelope, so that the ring bounds the number of messages
     * that wait.
     *
     * Calls that overtake each other would make followers refuse entries, and the leader would send them all again.
     */
    private fun deliver(batch: List<Outgoing>) {
        EnvelopeParts.split(batch) { it.message }.forEach { part ->
            part.groupBy { Endpoints(it.from, it.to) }.forEach { (endpoints, messages) ->
                val directory = sharedState.directoryUpdateOrNull(sentEdition)
                val envelope =
                    PeerEnvelope(
                        endpoints.from,
                        endpoints.to,
                        messages.map { it.message },
                        sharedState.entryCount(),
                        directory,
                    )
                val reply = client.call(PeerRpc.DELIVER, envelope, DELIVERY_TIMEOUT_MILLIS)
                sentEdition = directory?.edition.takeIf { reply is Outcome.Success }
                if (reply is Outcome.Failure) onUndelivered(messages.size)
            }
        }
    }

    /** Counts the messages as lost and opens a new connection, since the old one may be broken without an error. */
    @Synchronized
    private fun onUndelivered(messages: Int) {
        droppedMessages.inc(messages.toLong())
        reopen()
    }

    @Synchronized
    private fun reopen() {
        val nowMillis = MonotonicClock.nowMillis()
        if (nowMillis - openedMillis < MIN_CONNECTION_MILLIS) return
        openedMillis = nowMillis
        val previous = client
        client = RpcClient.to(address, identity)
        previous.close()
    }

    private data class Endpoints(val from: ReplicaId, val to: ReplicaId)

    private inner class JoinAnswer(private val onReply: (JoinReply) -> Unit) : StreamObserver<JoinReply> {
        override fun onNext(value: JoinReply) = onReply(value)

        override fun onError(failure: Throwable) = onUndelivered(1)

        override fun onCompleted() = Unit
    }

    private companion object {
        const val RING_MESSAGES = 1_024

        /**
         * Below the shortest election timeout, so that a broken connection is replaced before followers miss the
         * leader.
         */
        const val DELIVERY_TIMEOUT_MILLIS = 600L

        /** The shortest time from one connection to the next. */
        const val MIN_CONNECTION_MILLIS = 500L
        val droppedMessages: Counter =
            Counter
                .builder()
                .name("marigoldward_peer_messages_dropped_total")
                .help("Replication messages that were not delivered")
                .register()
    }
}
