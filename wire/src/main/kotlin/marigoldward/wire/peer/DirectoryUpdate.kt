package marigoldward.wire.peer

import kotlinx.serialization.Serializable
import marigoldward.wire.feed.DirectorySnapshot

/**
 * The list of upstreams, as the leader sends it to the other replicas.
 *
 * @property edition the number of the list among those that one process sends, by which a receiver detects a missed one
 * @property ageMillis the time since the list was known to be valid, in milliseconds
 * @property snapshot the list, or null if the receiver already got this edition
 */
@Serializable
public data class DirectoryUpdate(val edition: Long, val ageMillis: Long, val snapshot: DirectorySnapshot?)
