package marigoldward.core.serving

/**
 * An attempt that was sent to an upstream and has not ended.
 *
 * @property dispatchedMillis when it was sent, in milliseconds of monotonic time
 * @property prefillTokens the prompt tokens to prefill, without those expected in the prefix cache
 * @property isPrefilled whether the prefill is complete
 */
public data class InFlightAttempt(
    val work: PendingWork,
    val route: Route,
    val dispatchedMillis: Long,
    val prefillTokens: Long,
    val isPrefilled: Boolean,
)
