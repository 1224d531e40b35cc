package marigoldward.core.replication

/** A change of a single member. */
public sealed interface MemberChange {
    /** Adds [replica] as a learner, which receives the log but doesn't vote. */
    public data class AddLearner(val replica: ReplicaId) : MemberChange

    /** Turns the learner [replica] into a voter. Refused until the learner's log has caught up. */
    public data class Promote(val replica: ReplicaId) : MemberChange

    /** Removes the voter or learner [replica]. */
    public data class Remove(val replica: ReplicaId) : MemberChange
}
