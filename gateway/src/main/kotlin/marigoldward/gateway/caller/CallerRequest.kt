package marigoldward.gateway.caller

import marigoldward.gateway.message.RequestHead

/**
 * One whole request of a caller.
 *
 * @property arrivedMillis when its head had come, in milliseconds of monotonic time
 */
internal class CallerRequest(val head: RequestHead, val body: ByteArray, val arrivedMillis: Long)
