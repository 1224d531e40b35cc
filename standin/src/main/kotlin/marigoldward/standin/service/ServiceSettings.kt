package marigoldward.standin.service

import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import java.net.InetSocketAddress

/**
 * The settings of an emulated instance of a plain service.
 *
 * @property latencyMillis the duration of each call, in milliseconds
 */
public data class ServiceSettings(
    val id: UpstreamId,
    val pool: PoolName,
    val dataCentre: DataCentre,
    val listen: InetSocketAddress,
    val latencyMillis: Long,
)
