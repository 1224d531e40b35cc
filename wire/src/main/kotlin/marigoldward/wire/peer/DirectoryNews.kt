package marigoldward.wire.peer

import kotlinx.serialization.Serializable
import marigoldward.wire.feed.DirectorySnapshot

/**
 * What the leader tells the other replicas of the list of upstreams.
 *
 * @property edition numbers the lists that one process has told, so that a receiver sees whether it missed one
 * @property ageMillis how long ago the list was known to hold, in milliseconds
 * @property snapshot the list, or null if the receiver was told this edition before
 */
@Serializable
public data class DirectoryNews(val edition: Long, val ageMillis: Long, val snapshot: DirectorySnapshot?)
