package marigoldward.core.planning

/**
 * The share of prompt tokens that engines have to prefill since no prefix cache holds them, as a moving average.
 *
 * Demand is counted when a request arrives, before it is routed and its cached prefix is known; this average serves to
 * estimate how many of its prompt tokens will have to be prefilled.
 *
 * @property share the average share, from 0.0 to 1.0
 */
public data class UncachedShare(val share: Double) {
    /**
     * Returns the average after a prompt of [promptTokens], of which [prefillTokens] had to be prefilled.
     *
     * An empty prompt does not change the average.
     */
    public fun observed(promptTokens: Long, prefillTokens: Long): UncachedShare {
        if (promptTokens <= 0) return this
        val current = (prefillTokens.toDouble() / promptTokens).coerceIn(0.0, 1.0)
        return UncachedShare(share * (1 - WEIGHT) + current * WEIGHT)
    }

    /** Returns how many of [promptTokens] will probably have to be prefilled. */
    public fun expectedPrefillTokens(promptTokens: Long): Long = (promptTokens * share).toLong()

    /** Holds the initial average. */
    public companion object {
        private const val WEIGHT = 0.02

        /** All prompt tokens have to be prefilled. */
        public val NOTHING_CACHED: UncachedShare = UncachedShare(1.0)
    }
}
