package marigoldward.core.replication

/** The reason why a replica refused a request. */
public sealed interface ReplicaRefusal {
    /** This replica is not the leader; [leader] is the known leader, or null if there is none. */
    public data class NotLeader(val leader: ReplicaId?) : ReplicaRefusal

    /** This replica is the leader but hasn't committed an entry of its own term yet. */
    public data object NotReady : ReplicaRefusal

    /** An earlier change of the members is not complete; [detail] describes it. */
    public data class ChangeInProgress(val detail: String) : ReplicaRefusal

    /** The change is invalid or could leave the cluster without a quorum; [detail] says why. */
    public data class UnsafeChange(val detail: String) : ReplicaRefusal
}
