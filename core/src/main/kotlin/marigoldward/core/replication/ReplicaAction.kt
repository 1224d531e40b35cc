package marigoldward.core.replication

/**
 * An effect that the caller of [Replica.step] must carry out.
 *
 * All data of a step that is to be persisted must be on disk before any other action is carried out.
 */
public sealed interface ReplicaAction {
    /** Persists [hardState]. */
    public data class PersistHardState(val hardState: HardState) : ReplicaAction

    /** Persists [entries], and deletes stored entries from the index of the first one on. */
    public data class PersistEntries(val entries: List<LogEntry>) : ReplicaAction

    /** Persists [snapshot], deletes all stored entries and restores the control state from the snapshot. */
    public data class PersistSnapshot(val snapshot: Snapshot) : ReplicaAction

    /** Sends [message] to the replica [to]. */
    public data class Send(val to: ReplicaId, val message: ReplicaMessage) : ReplicaAction

    /** Sends the newest snapshot on disk to the replica [to] as a [ReplicaMessage.Install]. */
    public data class SendSnapshot(val to: ReplicaId, val term: Long, val round: Long) : ReplicaAction

    /** Applies the committed [entries], in order. */
    public data class Commit(val entries: List<LogEntry>) : ReplicaAction

    /**
     * Reports that the proposal or member change [requestId] was appended to the log at [index].
     *
     * The request takes effect only if this entry is the one that gets committed at [index].
     */
    public data class Accepted(val requestId: Long, val index: Long, val term: Long) : ReplicaAction

    /** Reports that the proposal, member change or leadership check [requestId] was refused and had no effect. */
    public data class Refused(val requestId: Long, val refusal: ReplicaRefusal) : ReplicaAction

    /**
     * Reports that this replica was still the leader after [requestId] had arrived.
     *
     * A read is linearizable once the entries up to [index] are applied.
     */
    public data class LeadershipConfirmed(val requestId: Long, val index: Long) : ReplicaAction

    /** Reports that this replica has become the leader. */
    public data object LeadershipGained : ReplicaAction

    /** Reports that this replica is no longer the leader. Accepted but uncommitted requests may or may not commit. */
    public data object LeadershipLost : ReplicaAction
}
