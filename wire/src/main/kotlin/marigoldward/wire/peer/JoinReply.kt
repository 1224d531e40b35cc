package marigoldward.wire.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/**
 * The reply to a [JoinAnnouncement].
 *
 * @property isAccepted whether the announcement was accepted for processing
 * @property leader the leader, as far as the receiver knows, or null
 * @property members the members, as far as the receiver knows
 * @property term the term in which [leader] leads; 0 from an instance of an earlier version
 */
@Serializable
public data class JoinReply(
    @SerialName("isTaken") val isAccepted: Boolean,
    val leader: InstanceId?,
    val members: List<InstanceId>,
    val term: Long = 0,
)
