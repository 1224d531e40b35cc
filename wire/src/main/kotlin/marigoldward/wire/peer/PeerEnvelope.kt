package marigoldward.wire.peer

import kotlinx.serialization.Serializable
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage

/**
 * Messages of one replica to another, in the order in which they were sent.
 *
 * @property entries how many entries watch the sender; a leader says how many watch all replicas
 * @property directory the list of upstreams if the sender leads and has one
 */
@Serializable
public data class PeerEnvelope(
    val from: ReplicaId,
    val to: ReplicaId,
    val messages: List<ReplicaMessage>,
    val entries: Int = 0,
    val directory: DirectoryNews? = null,
)
