package marigoldward.control.replica

import marigoldward.core.model.InstanceId

/**
 * The replica's status for other threads, as of the last batch.
 *
 * @property leader the instance that leads, as far as this replica knows, or null
 * @property term the term of this replica, which is that of [leader]
 * @property isMember whether this replica is one of the members
 * @property lastUpToDateMillis the latest time at which this replica certainly knew all committed entries, in
 * milliseconds of monotonic time
 */
internal data class PublishedStatus(
    val leader: InstanceId?,
    val isLeader: Boolean,
    val term: Long,
    val members: List<InstanceId>,
    val isMember: Boolean,
    val lastUpToDateMillis: Long,
)
