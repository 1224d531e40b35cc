package marigoldward.core.serving

/** The outcome of sending a request to an upstream once. */
public sealed interface AttemptResult {
    /** The upstream answered, and the complete answer was delivered to the caller. */
    public data object Done : AttemptResult

    /**
     * The upstream did not run the request: either no byte reached it, or it declared that it had not run it.
     *
     * @property isUpstreamFault whether this counts as a failure of the upstream; false if it declined the request
     */
    public data class NotRun(val isUpstreamFault: Boolean) : AttemptResult

    /**
     * The answer ended before it was complete.
     *
     * @property deliveredTokens the number of tokens delivered to the caller so far, earlier attempts included
     * @property isCrash whether the upstream is known to have crashed
     */
    public data class Broken(val deliveredTokens: Long, val isCrash: Boolean) : AttemptResult

    /** The attempt was cancelled on this side, for instance because the caller disconnected. */
    public data object Abandoned : AttemptResult
}
