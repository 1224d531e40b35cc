package marigoldward.core.control

import kotlinx.serialization.Serializable
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId

/** The last grant of a lease. Only the leader knows, by its monotonic clock, whether the lease has expired. */
@Serializable
public data class LeaseRecord(val holder: InstanceId, val token: FencingToken)
