package marigoldward.control.replica

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.control.ControlOutcome
import marigoldward.core.replication.ReplicaRefusal

/** The requests of this process that wait for a result, by their ID. Used by the replica's thread only. */
internal class PendingRequests {
    private var nextId = 1L
    private var requests: PersistentMap<Long, PendingRequest> = persistentMapOf()
    private var idByIndex: PersistentMap<Long, Long> = persistentMapOf()

    /** Adds [request] and returns its ID. */
    fun add(request: PendingRequest): Long {
        val id = nextId++
        requests = requests.put(id, request)
        return id
    }

    /** Records that the entry of request [id] was appended to the log at [index]. */
    fun onAccepted(id: Long, index: Long) {
        idByIndex = idByIndex.put(index, id)
        requests[id]?.onAccepted(index)
    }

    /** Completes the request whose entry is at log [index], if it is one of this process. */
    fun onCommitted(index: Long, outcome: ControlOutcome) {
        val id = idByIndex[index] ?: return
        idByIndex = idByIndex.remove(index)
        removeOrNull(id)?.onCommitted(outcome)
    }

    /** Completes request [id], which has no effect. */
    fun onRefused(id: Long, refusal: ReplicaRefusal) {
        removeOrNull(id)?.onRefused(refusal)
    }

    /** Completes request [id]: this replica was the leader after the request had arrived. */
    fun onConfirmed(id: Long) {
        removeOrNull(id)?.onConfirmed()
    }

    /** Completes every request whose entry is in the log but not committed; its result is unknown to this replica. */
    fun onLeadershipLost() {
        val ids = idByIndex.values
        idByIndex = persistentMapOf()
        ids.forEach { removeOrNull(it)?.onUnknown() }
    }

    /** Completes the requests [ids] of a batch that could not be persisted and was rolled back. */
    fun onRolledBack(ids: List<Long>, reason: String) {
        ids.forEach { removeOrNull(it)?.onRolledBack(reason) }
    }

    private fun removeOrNull(id: Long): PendingRequest? {
        val request = requests[id]
        requests = requests.remove(id)
        return request
    }
}
