package marigoldward.wire.peer

import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.replication.ReplicaId

/** Says that [replica] runs with an empty disk and waits to be taken in; [dataCentre] is where it runs, if known. */
@Serializable
public data class JoinAnnouncement(val replica: ReplicaId, val dataCentre: DataCentre? = null)
