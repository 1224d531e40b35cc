package marigoldward.wire.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage

/**
 * A batch of messages from one replica to another, in the order in which they were sent.
 *
 * @property entryCount the number of entries that watch the sender, or all replicas if the sender leads
 * @property directory the list of upstreams, or null unless the sender leads and has one
 */
@Serializable
public data class PeerEnvelope(
    val from: ReplicaId,
    val to: ReplicaId,
    val messages: List<ReplicaMessage>,
    @SerialName("entries") val entryCount: Int = 0,
    val directory: DirectoryUpdate? = null,
)
