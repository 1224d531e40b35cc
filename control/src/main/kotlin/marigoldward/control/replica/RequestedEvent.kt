package marigoldward.control.replica

import marigoldward.core.replication.ReplicaEvent

/** An event for the replica. [requestId] is the pending request that waits for its result, or null if none does. */
internal data class RequestedEvent(val event: ReplicaEvent, val requestId: Long?)
