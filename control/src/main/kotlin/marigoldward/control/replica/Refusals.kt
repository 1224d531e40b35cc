package marigoldward.control.replica

import marigoldward.core.model.InstanceId
import marigoldward.core.replication.ReplicaRefusal
import marigoldward.wire.control.SubmitReply

/** The refusal as a client sees it. */
internal fun ReplicaRefusal.toReply(): SubmitReply = when (this) {
    is ReplicaRefusal.NotLeader -> SubmitReply.NotLeader(leader?.name)
    is ReplicaRefusal.NotReady -> SubmitReply.NotLeader(null)
    is ReplicaRefusal.ChangeInProgress -> SubmitReply.Refused("another change of members is under way: $detail")
    is ReplicaRefusal.UnsafeChange -> SubmitReply.Refused("the change is not safe: $detail")
}

/** The instance that may lead, if the refusal names one. */
internal fun ReplicaRefusal.leaderOrNull(): InstanceId? = (this as? ReplicaRefusal.NotLeader)?.leader?.name
