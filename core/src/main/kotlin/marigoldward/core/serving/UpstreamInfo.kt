package marigoldward.core.serving

import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId

/**
 * An upstream as listed by the platform.
 *
 * @property address the address as `IP:PORT`
 * @property isLeaving whether it is being removed and gets no new requests
 */
public data class UpstreamInfo(
    val id: UpstreamId,
    val pool: PoolName,
    val dataCentre: DataCentre,
    val address: String,
    val isLeaving: Boolean,
)
