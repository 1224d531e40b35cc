package marigoldward.core.dispatch

import marigoldward.core.model.UpstreamId

/**
 * One request on its way to an upstream.
 *
 * @property number tells attempts apart
 * @property tokensToRead the prompt tokens that the upstream is expected to read, 0 for a plain service
 * @property isReading whether the first event, or the end of the prompt, has not come yet
 * @property startedMillis when it was sent, in milliseconds of monotonic time
 */
public data class Attempt(
    val number: Long,
    val upstream: UpstreamId,
    val tokensToRead: Int,
    val isReading: Boolean,
    val startedMillis: Long,
) {
    /** Whether the upstream takes a KV cache over and reads nothing itself. */
    val isTakeOver: Boolean get() = tokensToRead == TAKE_OVER_TOKENS

    /** Whether the upstream has still to read the prompt itself. */
    val isReadingPrompt: Boolean get() = isReading && !isTakeOver

    /** Numbers. */
    public companion object {
        /** What an engine has to read that takes a KV cache over: the token after it. */
        public const val TAKE_OVER_TOKENS: Int = 1
    }
}
