package marigoldward.core.routes

import marigoldward.core.model.PoolName

/**
 * A service that routes lead to.
 *
 * @property maxConnections the connections that one upstream accepts from all callers together
 * @property engine the declaration of its engines, or null for a plain service
 */
public data class ServiceDeclaration(val name: PoolName, val maxConnections: Int, val engine: EngineDeclaration?)
