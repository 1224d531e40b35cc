package marigoldward.core.dispatch

import marigoldward.core.model.UpstreamId

/**
 * One request on its way to an upstream.
 *
 * @property number tells attempts apart
 * @property tokensToRead the prompt tokens that the upstream is expected to read, 0 for a plain service
 * @property isReading whether the prompt has not been read yet
 * @property startedMillis when it was sent, in milliseconds of monotonic time
 */
public data class Attempt(
    val number: Long,
    val upstream: UpstreamId,
    val tokensToRead: Int,
    val isReading: Boolean,
    val startedMillis: Long,
)
