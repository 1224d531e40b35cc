package marigoldward.core.dispatch

import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId

/**
 * An upstream as the directory lists it.
 *
 * @property address the address as `IP:PORT`
 * @property slots the number of requests that it runs at once
 * @property isLeaving whether it accepts no new requests
 * @property isCold whether it has started recently and is still slow
 * @property isReclaimable whether it costs less and may be taken away with the others of its kind in its data centre
 * @property stage the stage of an engine; null for an instance of a plain service
 */
@Serializable
public data class ListedUpstream(
    val id: UpstreamId,
    val service: PoolName,
    val address: String,
    val dataCentre: DataCentre,
    val slots: Int,
    val isLeaving: Boolean,
    val isCold: Boolean,
    val stage: EngineStage?,
    val isReclaimable: Boolean = false,
)
