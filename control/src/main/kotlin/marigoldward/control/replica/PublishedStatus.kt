package marigoldward.control.replica

import marigoldward.core.model.InstanceId

/**
 * What other threads may know of the replica.
 *
 * @property leader the instance that leads as far as is known here, or null
 * @property isLeader whether this replica leads
 * @property members the instances that are members
 * @property isMember whether this replica is one of them
 * @property currentMillis when this replica last had everything that was committed, in milliseconds of monotonic time
 */
internal data class PublishedStatus(
    val leader: InstanceId?,
    val isLeader: Boolean,
    val members: List<InstanceId>,
    val isMember: Boolean,
    val currentMillis: Long,
)
