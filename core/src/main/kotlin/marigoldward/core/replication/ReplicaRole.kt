package marigoldward.core.replication

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap

/** The current role of a replica. */
public sealed interface ReplicaRole {
    /** Accepts entries from [leader], which is null until a leader of the current term is known. */
    public data class Follower(val leader: ReplicaId?) : ReplicaRole

    /**
     * Requests votes for itself.
     *
     * @property votes the replicas that granted their vote, including this one
     */
    public data class Candidate(val isPreVote: Boolean, val votes: Set<ReplicaId>) : ReplicaRole

    /**
     * Replicates its log to the other members.
     *
     * @property progress the replication state of each other member
     * @property round the number of the newest broadcast
     * @property nextHeartbeatMillis when the next broadcast is due, in milliseconds of monotonic time
     * @property pendingReads the leadership checks that no quorum has confirmed yet
     * @property pendingPromotion the promotion that waits for replies, or null
     */
    public data class Leader(
        val progress: PersistentMap<ReplicaId, Progress>,
        val round: Long,
        val nextHeartbeatMillis: Long,
        val pendingReads: PersistentList<PendingRead>,
        val pendingPromotion: PendingPromotion? = null,
    ) : ReplicaRole

    /**
     * A leader's view of another member.
     *
     * @property matchIndex the last entry that is known to be in the member's log
     * @property nextIndex the next entry to send to the member
     * @property lastReplyMillis when the member last replied, in milliseconds of monotonic time; initially when the
     * leader started to track it
     * @property acknowledgedRound the newest round that the member replied to
     */
    public data class Progress(
        val matchIndex: Long,
        val nextIndex: Long,
        val lastReplyMillis: Long,
        val acknowledgedRound: Long,
    )

    /** A leadership check that is confirmed once a quorum has replied to [round] or a later one. */
    public data class PendingRead(val requestId: Long, val round: Long)

    /**
     * A promotion of the learner [replica] that is appended once the learner, and enough other members for a quorum that
     * includes it, have replied to [round] or a later one.
     */
    public data class PendingPromotion(val requestId: Long, val replica: ReplicaId, val round: Long)
}
