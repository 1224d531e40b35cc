package marigoldward.wire.distribution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision

/**
 * Renews a subscription and reports which revision is in force.
 *
 * @property appliedRevision the revision in force at the subscriber
 * @property downstreamReports the last reports of the processes that subscribe to this subscriber
 */
@Serializable
public data class SubscriberReport(
    val subscriber: InstanceId,
    val dataCentre: DataCentre,
    val appliedRevision: Revision,
    @SerialName("below") val downstreamReports: List<SubscriberReport> = emptyList(),
)
