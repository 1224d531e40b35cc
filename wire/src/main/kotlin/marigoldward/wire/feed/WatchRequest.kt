package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/** Asks for updates until the call is cancelled; configurations up to [routesVersion] are not needed. */
@Serializable
public data class WatchRequest(val subscriber: InstanceId, val routesVersion: Long)
