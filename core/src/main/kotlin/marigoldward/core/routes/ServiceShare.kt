package marigoldward.core.routes

import marigoldward.core.model.PoolName

/** The part of a route's requests that goes to [service], as a [weight] among the route's weights. */
public data class ServiceShare(val service: PoolName, val weight: Long)
