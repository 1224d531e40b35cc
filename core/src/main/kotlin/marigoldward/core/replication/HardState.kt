package marigoldward.core.replication

import kotlinx.serialization.Serializable

/**
 * The state other than the log that a replica must persist before it replies to another replica.
 *
 * @property term the newest term that the replica has seen
 * @property votedFor the replica that got this replica's vote in [term], or null if none did
 */
@Serializable
public data class HardState(val term: Long, val votedFor: ReplicaId?) {
    /** Holds the initial state. */
    public companion object {
        /** The state of a replica that has never taken part in an election. */
        public val INITIAL: HardState = HardState(0, null)
    }
}
