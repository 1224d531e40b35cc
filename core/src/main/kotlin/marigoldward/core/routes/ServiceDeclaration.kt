package marigoldward.core.routes

import marigoldward.core.capacity.EngineScaling
import marigoldward.core.model.PoolName

/**
 * A service that routes can refer to.
 *
 * @property maxConnections the number of connections that one upstream accepts from all callers together
 * @property engine the properties of its engines, or null for a plain service
 * @property scaling how many engines may be ordered, or null if none are
 */
public data class ServiceDeclaration(
    val name: PoolName,
    val maxConnections: Int,
    val engine: EngineDeclaration?,
    val scaling: EngineScaling? = null,
)
