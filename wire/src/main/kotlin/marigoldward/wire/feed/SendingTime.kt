package marigoldward.wire.feed

import kotlinx.serialization.Serializable

/**
 * When a message was sent.
 *
 * @property clockId identifies the monotonic clock of the sender, which differs between processes
 * @property millis the time on that clock, in milliseconds
 */
@Serializable
public data class SendingTime(val clockId: Long, val millis: Long)
