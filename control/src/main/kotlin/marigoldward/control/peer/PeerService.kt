package marigoldward.control.peer

import io.grpc.ServerServiceDefinition
import io.prometheus.metrics.core.metrics.Counter
import marigoldward.control.replica.PublishedStatus
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.core.model.InstanceId
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.peer.JoinAnnouncement
import marigoldward.wire.peer.JoinReply
import marigoldward.wire.peer.PeerEnvelope
import marigoldward.wire.peer.PeerRpc
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.ServiceBuilder
import java.util.concurrent.atomic.AtomicLong

/**
 * Accepts messages and join announcements of other replicas.
 *
 * @param isKnown returns whether messages of an instance are accepted
 * @param replica handles the messages
 * @param status returns the status of this replica
 * @param onEnvelope called with each accepted envelope, for the state in it that is not part of replication
 */
internal class PeerService(
    private val isKnown: (InstanceId) -> Boolean,
    private val replica: Duty<ReplicaDutyEvent>,
    private val status: () -> PublishedStatus,
    private val onEnvelope: (PeerEnvelope) -> Unit,
) {
    private val lastLoggedMillis = AtomicLong(MonotonicClock.nowMillis() - LOG_PERIOD_MILLIS)

    val service: ServerServiceDefinition =
        ServiceBuilder
            .named(PeerRpc.SERVICE)
            .unary(PeerRpc.DELIVER, ::deliver)
            .unary(PeerRpc.JOIN, ::join)
            .build()

    private fun join(announcement: JoinAnnouncement): JoinReply {
        val event = ReplicaDutyEvent.JoinAnnounced(announcement.replica, announcement.dataCentre)
        val isAccepted = accepts(announcement.replica.name) && replica.offer(event)
        val current = status()
        return JoinReply(isAccepted, current.leader, current.members, current.term)
    }

    private fun deliver(envelope: PeerEnvelope): Acknowledgement {
        if (!accepts(envelope.from.name)) return Acknowledgement(isAccepted = false)
        onEnvelope(envelope)
        val queued = envelope.messages.map { message ->
            replica.offer(ReplicaDutyEvent.Received(envelope.from, envelope.to, message))
        }
        return Acknowledgement(queued.all { it })
    }

    private fun accepts(name: InstanceId): Boolean {
        val isAccepted = isKnown(name)
        if (!isAccepted) reportUnknown(name)
        return isAccepted
    }

    private fun reportUnknown(name: InstanceId) {
        unknownPeers.inc()
        val nowMillis = MonotonicClock.nowMillis()
        val lastMillis = lastLoggedMillis.get()
        if (nowMillis - lastMillis < LOG_PERIOD_MILLIS) return
        if (lastLoggedMillis.compareAndSet(lastMillis, nowMillis)) log.warn("unknown_peer") { field("peer", name) }
    }

    private companion object {
        const val LOG_PERIOD_MILLIS = 10_000L
        val log = EventLog.fromName("peer")
        val unknownPeers: Counter =
            Counter
                .builder()
                .name("marigoldward_unknown_peers_total")
                .help("Messages of replicas that the settings do not list")
                .register()
    }
}
