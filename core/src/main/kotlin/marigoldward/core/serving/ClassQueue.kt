package marigoldward.core.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.model.RequestId

/**
 * The requests of one priority class that wait in one pool, earliest deadline first.
 *
 * Deadlines of new requests increase with their arrival, so these are appended to [firstAttempts]. Requests that wait
 * for another attempt have earlier deadlines; they are kept in [retries] and sent before new requests.
 *
 * @property firstAttempts requests that have not been sent yet, in order of arrival
 * @property retries requests that wait for another attempt, earliest deadline first
 * @property creditMillis the upstream time that the class may use ahead of higher classes, in milliseconds
 * @property queuedTime the upstream time that all waiting requests need
 */
public data class ClassQueue(
    val firstAttempts: PersistentMap<RequestId, PendingWork>,
    val retries: PersistentMap<RequestId, PendingWork>,
    val creditMillis: Double,
    val queuedTime: UpstreamTime,
) {
    val size: Int get() = firstAttempts.size + retries.size

    /** Holds the empty queue. */
    public companion object {
        /** A queue without requests or credit. */
        public val EMPTY: ClassQueue = ClassQueue(persistentMapOf(), persistentMapOf(), 0.0, UpstreamTime.NONE)
    }
}
