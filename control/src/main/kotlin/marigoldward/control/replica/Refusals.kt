package marigoldward.control.replica

import marigoldward.core.model.InstanceId
import marigoldward.core.replication.ReplicaRefusal
import marigoldward.wire.control.SubmitReply

/** Returns the reply to a client for this refusal. */
internal fun ReplicaRefusal.toReply(): SubmitReply = when (this) {
    is ReplicaRefusal.NotLeader -> SubmitReply.NotLeader(leader?.name)
    is ReplicaRefusal.NotReady -> SubmitReply.NotLeader(null)
    is ReplicaRefusal.ChangeInProgress -> SubmitReply.Refused("another membership change is in progress: $detail")
    is ReplicaRefusal.UnsafeChange -> SubmitReply.Refused("the membership change is not safe: $detail")
}

/** Returns the presumed leader, or null if the refusal does not name one. */
internal fun ReplicaRefusal.leaderOrNull(): InstanceId? = (this as? ReplicaRefusal.NotLeader)?.leader?.name
