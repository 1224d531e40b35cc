package marigoldward.wire.peer

import kotlinx.serialization.Serializable
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.SendingTime

/**
 * The list of upstreams, as the leader sends it to the other replicas.
 *
 * @property edition the number of the list among those that one process sends, by which a receiver detects a missed one
 * @property ageMillis the time from when the list was known to be valid until the update was made, in milliseconds
 * @property snapshot the list, or null if the receiver already got this edition
 * @property sentAt when the update was made, or null if it is from a replica that doesn't tell
 */
@Serializable
public data class DirectoryUpdate(
    val edition: Long,
    val ageMillis: Long,
    val snapshot: DirectorySnapshot?,
    val sentAt: SendingTime? = null,
)
