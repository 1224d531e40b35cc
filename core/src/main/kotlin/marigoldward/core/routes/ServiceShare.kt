package marigoldward.core.routes

import marigoldward.core.model.PoolName

/** A service of a route. Its part of the requests is [weight] divided by the sum of the route's weights. */
public data class ServiceShare(val service: PoolName, val weight: Long)
