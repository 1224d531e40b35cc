package marigoldward.wire.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId

/** The reply to a [LeaseRequest]. */
@Serializable
public sealed interface LeaseReply {
    /** The requester holds the lease with [token]. Its duration counts from when the request was sent. */
    @Serializable
    @SerialName("held")
    public data class Granted(val token: FencingToken) : LeaseReply

    /** [holder] holds the lease for up to [remainingMillis] milliseconds. */
    @Serializable
    @SerialName("taken")
    public data class Taken(val holder: InstanceId, val remainingMillis: Long) : LeaseReply

    /** This replica cannot grant leases; [leader] may, if it is known. */
    @Serializable
    @SerialName("unavailable")
    public data class Unavailable(val leader: InstanceId?) : LeaseReply
}
