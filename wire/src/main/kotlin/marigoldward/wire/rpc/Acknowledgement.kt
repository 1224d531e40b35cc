package marigoldward.wire.rpc

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The reply to a message that needs no other answer. [isAccepted] is false if the receiver dropped the message. */
@Serializable
public data class Acknowledgement(@SerialName("isTaken") val isAccepted: Boolean = true)
