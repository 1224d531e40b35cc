package marigoldward.wire.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.control.ControlOutcome
import marigoldward.core.model.InstanceId

/** The result of a request that changes the replicated state or its members. */
@Serializable
public sealed interface SubmitReply {
    /** The request was committed and applied with [outcome]. */
    @Serializable
    @SerialName("committed")
    public data class Committed(val outcome: ControlOutcome) : SubmitReply

    /** The request had no effect because the instance does not lead; [leader] does, if it is known. */
    @Serializable
    @SerialName("not-leader")
    public data class NotLeader(val leader: InstanceId?) : SubmitReply

    /** The request had no effect, for [reason]. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val reason: String) : SubmitReply

    /** The request may or may not take effect. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : SubmitReply
}
