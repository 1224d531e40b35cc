package marigoldward.wire.peer

import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.replication.ReplicaId

/** Announces that [replica] has an empty disk and waits to be added as a member. [dataCentre] is its own, if known. */
@Serializable
public data class JoinAnnouncement(val replica: ReplicaId, val dataCentre: DataCentre? = null)
