package marigoldward.control.storage

import kotlinx.serialization.Serializable
import marigoldward.core.replication.ReplicaId

/** The cluster and the replica that a data folder belongs to. */
@Serializable
internal data class ReplicaIdentity(val clusterId: String, val replica: ReplicaId)
