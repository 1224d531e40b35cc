package marigoldward.core.dispatch

import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId

/**
 * One upstream as a directory lists it.
 *
 * @property address the address as `IP:PORT`
 * @property slots the requests that it runs at once
 * @property isLeaving whether it gets no new work
 * @property isCold whether it is slow, having started lately
 * @property stage what it does if it is an engine; null for an instance of a plain service
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
)
