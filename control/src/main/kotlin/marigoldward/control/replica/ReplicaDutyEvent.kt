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

/** What reaches the replica's thread. */
internal sealed interface ReplicaDutyEvent {
    data object Tick : ReplicaDutyEvent

    data class Received(val from: ReplicaId, val to: ReplicaId, val message: ReplicaMessage) : ReplicaDutyEvent

    data class Joining(val replica: ReplicaId, val dataCentre: DataCentre? = null) : ReplicaDutyEvent

    data class Submit(val command: ControlCommand, val answer: (SubmitReply) -> Unit) : ReplicaDutyEvent

    data class Replace(val name: InstanceId, val answer: (SubmitReply) -> Unit) : ReplicaDutyEvent

    data class Lease(val request: LeaseRequest, val answer: (LeaseReply) -> Unit) : ReplicaDutyEvent

    data class ReadEngines(val answer: (EnginesReply) -> Unit) : ReplicaDutyEvent

    data class ReadRoutes(val answer: (RoutesRead) -> Unit) : ReplicaDutyEvent

    /** Asks for the term in which this replica leads, confirmed by a quorum; null if it does not. */
    data class ConfirmLeading(val answer: (Long?) -> Unit) : ReplicaDutyEvent

    /** The process ends; another replica should lead. */
    data object Leave : ReplicaDutyEvent

    data class ReadStatus(val withBundle: Boolean, val answer: (StatusReply) -> Unit) : ReplicaDutyEvent
}
