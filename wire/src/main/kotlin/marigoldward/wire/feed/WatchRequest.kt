package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/** Requests updates until the call is cancelled, with route configurations of a higher version than [routesVersion]. */
@Serializable
public data class WatchRequest(val subscriber: InstanceId, val routesVersion: Long)
