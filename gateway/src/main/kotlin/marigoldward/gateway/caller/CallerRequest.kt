package marigoldward.gateway.caller

import marigoldward.gateway.message.RequestHead

/**
 * One complete request of a caller.
 *
 * @property arrivedMillis when its head was received, in milliseconds of monotonic time
 * @property isBodyDropped whether there was no memory for the body, which is empty then
 */
internal class CallerRequest(
    val head: RequestHead,
    val body: ByteArray,
    val arrivedMillis: Long,
    val isBodyDropped: Boolean,
)
