package marigoldward.wire.distribution

import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

/** Opens a subscription. It ends unless [subscriber] renews it in time with a [SubscriberReport]. */
@Serializable
public data class SubscribeRequest(val subscriber: InstanceId, val dataCentre: DataCentre)
