package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.capacity.ServiceDemand
import marigoldward.core.model.InstanceId
import marigoldward.core.usage.UsageReport

/**
 * What an entry reports to the control instance that leads. The instance that the entry follows passes it on.
 *
 * All counts are totals since the start of the process, or of a usage window, so that a repeated or lost message has no
 * effect on them.
 *
 * @property incarnation identifies the process; differs between its restarts
 * @property sequence increases with each request of the process
 * @property epochMillis the entry's time of day when the request was made, in milliseconds since 1970
 * @property usage the usage windows with changes that the leader has not confirmed, or null if usage is not metered
 * @property isForwarded whether a control instance has passed the request on, so that it is not passed on again
 * @property demand the demand for each service with engines, or empty if it is not measured
 */
@Serializable
public data class EntryExchangeRequest(
    val entry: InstanceId,
    val incarnation: Long,
    val sequence: Long,
    val epochMillis: Long,
    val usage: UsageReport? = null,
    val demand: List<ServiceDemand> = emptyList(),
    val isForwarded: Boolean = false,
)
