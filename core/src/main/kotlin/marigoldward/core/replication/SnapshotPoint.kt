package marigoldward.core.replication

import kotlinx.serialization.Serializable

/** The position of the last log entry that a snapshot covers, and the [members] as of that entry. */
@Serializable
public data class SnapshotPoint(val index: Long, val term: Long, val members: Members)
