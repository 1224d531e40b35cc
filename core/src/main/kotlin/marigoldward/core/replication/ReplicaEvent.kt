package marigoldward.core.replication

import marigoldward.core.control.ControlCommand

/** An input of [Replica.step]. */
public sealed interface ReplicaEvent {
    /** A periodic timer event, which triggers elections, heartbeats and quorum checks that are due. */
    public data object Tick : ReplicaEvent

    /** The [message] of another replica has arrived. */
    public data class Received(val from: ReplicaId, val message: ReplicaMessage) : ReplicaEvent

    /** A client asks to append [command] to the log. */
    public data class Propose(val requestId: Long, val command: ControlCommand) : ReplicaEvent

    /** A client needs confirmation that this replica is the leader, for instance before a linearizable read. */
    public data class ConfirmLeadership(val requestId: Long) : ReplicaEvent

    /** An operator or the [MembershipPlanner] asks for a change of the members. */
    public data class ChangeMembers(val requestId: Long, val change: MemberChange) : ReplicaEvent

    /** A snapshot that covers all entries up to [index] has been written to disk. */
    public data class SnapshotTaken(val index: Long) : ReplicaEvent

    /** This replica can't act as leader any longer, for instance because its disk rejects writes. */
    public data object Resign : ReplicaEvent
}
