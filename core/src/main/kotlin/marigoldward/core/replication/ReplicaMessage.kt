package marigoldward.core.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between replicas. */
@Serializable
public sealed interface ReplicaMessage {
    /** The term of the sender. In a pre-vote and in a reply that grants it, the term that the election would start. */
    public val term: Long

    /**
     * Requests a vote. A pre-vote only asks whether the vote would be granted.
     *
     * @property lastIndex the index of the last entry in the candidate's log
     * @property lastTerm the term of that entry
     */
    @Serializable
    @SerialName("vote-request")
    public data class VoteRequest(
        override val term: Long,
        val isPreVote: Boolean,
        val lastIndex: Long,
        val lastTerm: Long,
    ) : ReplicaMessage

    /** Replies to a [VoteRequest]. */
    @Serializable
    @SerialName("vote-reply")
    public data class VoteReply(override val term: Long, val isPreVote: Boolean, val granted: Boolean) : ReplicaMessage

    /**
     * Replicates entries to a member. Without entries, serves as a heartbeat.
     *
     * @property previousIndex the index of the entry before [entries]
     * @property previousTerm the term of that entry; a follower without a matching entry rejects the message
     * @property commitIndex the leader's commit index
     * @property round the number of the leader's newest broadcast; the reply repeats it, which shows that the reply was
     * sent after that broadcast
     */
    @Serializable
    @SerialName("append")
    public data class Append(
        override val term: Long,
        val previousIndex: Long,
        val previousTerm: Long,
        val entries: List<LogEntry>,
        val commitIndex: Long,
        val round: Long,
    ) : ReplicaMessage

    /**
     * Replies to an [Append] or [Install].
     *
     * @property matchIndex if [accepted], the last entry up to which the log matches the leader's; otherwise the last
     * entry up to which it may match
     * @property round the round of the message that is replied to
     */
    @Serializable
    @SerialName("append-reply")
    public data class AppendReply(
        override val term: Long,
        val accepted: Boolean,
        val matchIndex: Long,
        val round: Long,
    ) : ReplicaMessage

    /** Transfers a snapshot to a member whose next entries are no longer in the leader's log. */
    @Serializable
    @SerialName("install")
    public data class Install(override val term: Long, val snapshot: Snapshot, val round: Long) : ReplicaMessage
}
