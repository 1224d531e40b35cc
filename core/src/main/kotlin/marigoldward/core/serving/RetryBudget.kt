package marigoldward.core.serving

/** A token bucket that limits retries to a fixed percentage of the first attempts. */
public data class RetryBudget(private val tokens: Double) {
    /** Whether a retry is permitted now. */
    val hasToken: Boolean get() = tokens >= 1.0

    /** Returns the budget after a first attempt, which adds [percent] hundredths of a retry up to the maximum. */
    public fun afterFirstAttempt(percent: Int): RetryBudget =
        RetryBudget(minOf(MAX_TOKENS, tokens + percent / PERCENT_PER_RETRY))

    /** Returns the budget after a retry. */
    public fun afterRetry(): RetryBudget = RetryBudget(tokens - 1.0)

    /** Holds the initial budget. */
    public companion object {
        private const val PERCENT_PER_RETRY = 100.0
        private const val MAX_TOKENS = 32.0

        /** The full budget, which a process starts with. */
        public val INITIAL: RetryBudget = RetryBudget(MAX_TOKENS)
    }
}
