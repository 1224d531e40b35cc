package marigoldward.control.replica

import marigoldward.core.control.ControlCommand
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.wire.control.EnginesReply
import marigoldward.wire.control.LeaseReply
import marigoldward.wire.control.LeaseRequest
import marigoldward.wire.control.StatusReply
import marigoldward.wire.control.SubmitReply

/** An event for the replica's thread; requests carry a function that gets the answer. */
internal sealed interface ReplicaDutyEvent {
    data object Tick : ReplicaDutyEvent

    /** [message] has arrived from another replica; [to] may be an earlier incarnation of this one. */
    data class Received(val from: ReplicaId, val to: ReplicaId, val message: ReplicaMessage) : ReplicaDutyEvent

    /** [replica] waits to be added as a member. [dataCentre] is its own, if known. */
    data class JoinAnnounced(val replica: ReplicaId, val dataCentre: DataCentre? = null) : ReplicaDutyEvent

    data class Submit(val command: ControlCommand, val answer: (SubmitReply) -> Unit) : ReplicaDutyEvent

    /** Replaces the replica of instance [name] by its new incarnation, which waits to join. */
    data class Replace(val name: InstanceId, val answer: (SubmitReply) -> Unit) : ReplicaDutyEvent

    /** Requests or renews a lease. */
    data class RequestLease(val request: LeaseRequest, val answer: (LeaseReply) -> Unit) : ReplicaDutyEvent

    data class ReadEngines(val answer: (EnginesReply) -> Unit) : ReplicaDutyEvent

    data class ReadRoutes(val answer: (RoutesReply) -> Unit) : ReplicaDutyEvent

    /** Asks for the term in which this replica leads, confirmed by a quorum, or null if it is not the leader. */
    data class ReadLeaderTerm(val answer: (Long?) -> Unit) : ReplicaDutyEvent

    /** Gives up leadership, because the process stops. */
    data object Resign : ReplicaDutyEvent

    data class ReadStatus(val withBundle: Boolean, val answer: (StatusReply) -> Unit) : ReplicaDutyEvent
}
