package marigoldward.core.dispatch

/**
 * Parameters of the cost model that ranks the placements of a request. Prices are relative to the worth of a typical
 * request that is answered on time.
 *
 * @property prefillTokensPerMilli the prompt tokens that an engine in the prefill stage processes per millisecond
 * @property attentionMillisPerMegapair the time of attention for a million pairs of a new token and a token of the
 *   prompt
 * @property decodeStagePrefillFactor the factor by which processing a prompt takes longer on an engine in the decode
 *   stage
 * @property firstTokenMillis the time from the end of prefill to the first event
 * @property splitCallMillis the time of the second call if prefill and decode run on two engines
 * @property streamDelayMillis the delay that each stream on an engine adds to the others
 * @property latePrice the loss if an answer misses its target
 * @property timeoutPrice the additional loss if an answer comes after the caller has left
 * @property decodeStepMillis the time of one step of an engine in the decode stage that processes no prompt
 * @property disturbancePrice the base price of processing a prompt on an engine in the decode stage
 * @property remoteMegabytePrice the price of sending a megabyte of a request to another data centre
 * @property cacheGigabytePrice the price of sending a gigabyte of KV cache within a data centre
 * @property remoteCacheFactor the factor on the price and the time of sending KV cache to another data centre
 * @property prefixOwnerBonus the worth of decoding on the engine from which all gateways copy the shared prefix
 * @property repeatedPrefillPrice the price of processing a thousand tokens that another engine probably has cached
 * @property fullUpstreamMillis the wait at an upstream of a plain service with all slots taken
 * @property remoteCallMillis the penalty for an upstream of a plain service in another data centre
 * @property failurePrice the price of an engine whose attempts always fail
 * @property failureMillis the penalty for an upstream of a plain service whose attempts always fail
 * @property coldStartMillis the penalty for an upstream that has just started
 */
public data class PlacementCosts(
    val prefillTokensPerMilli: Double,
    val attentionMillisPerMegapair: Double,
    val decodeStagePrefillFactor: Double,
    val firstTokenMillis: Double,
    val splitCallMillis: Double,
    val streamDelayMillis: Double,
    val latePrice: Double,
    val timeoutPrice: Double,
    val decodeStepMillis: Double,
    val disturbancePrice: Double,
    val remoteMegabytePrice: Double,
    val cacheGigabytePrice: Double,
    val remoteCacheFactor: Double,
    val prefixOwnerBonus: Double,
    val repeatedPrefillPrice: Double,
    val fullUpstreamMillis: Double,
    val remoteCallMillis: Double,
    val failurePrice: Double,
    val failureMillis: Double,
    val coldStartMillis: Double,
) {
    /**
     * Returns the time in which an engine in the prefill stage processes the last [tokens] tokens of a prompt of
     * [promptTokens], or of [tokens] if that is more.
     */
    public fun prefillMillis(tokens: Int, promptTokens: Int = tokens): Double = tokens / prefillTokensPerMilli +
        attentionMillisPerMegapair * tokens * maxOf(tokens, promptTokens) / PAIRS_PER_MEGAPAIR

    /**
     * Returns the expected loss if the first event is expected after [expectedMillis], should come within
     * [targetMillis] and is useless after [remainingMillis].
     */
    public fun latenessPrice(expectedMillis: Double, targetMillis: Long, remainingMillis: Long): Double =
        latePrice * lateProbability(expectedMillis, targetMillis, STEEPNESS) +
            timeoutPrice * lateProbability(expectedMillis, remainingMillis, STEEPNESS) +
            expectedMillis * latePrice / MILLIS_PER_LATE_PRICE

    /**
     * Returns the expected loss of a stream that is expected to pause for [pauseMillis] and may pause for
     * [maxPauseMillis].
     */
    public fun pausePrice(pauseMillis: Double, maxPauseMillis: Long): Double =
        latePrice * lateProbability(pauseMillis, maxPauseMillis, PAUSE_STEEPNESS)

    /** Returns the probability that something expected after [expectedMillis] comes later than [limitMillis]. */
    private fun lateProbability(expectedMillis: Double, limitMillis: Long, steepness: Double): Double {
        val overrun = expectedMillis / maxOf(1, limitMillis) - TURNING_POINT
        return 1 / (1 + Math.exp(-overrun * steepness))
    }

    /** Creates costs. */
    public companion object {
        private const val PAIRS_PER_MEGAPAIR = 1e6

        /** At this part of the limit, an answer is late with a probability of one half. */
        private const val TURNING_POINT = 0.85

        /** At half the turning point, one answer in thirty is late. */
        private const val STEEPNESS = 8.0

        /** Pauses are easier to predict than waits: they follow from the prompts that the engine has to process. */
        private const val PAUSE_STEEPNESS = 20.0

        /**
         * Makes the sooner of two placements slightly cheaper where both are certainly on time or both certainly late.
         */
        private const val MILLIS_PER_LATE_PRICE = 20_000.0

        /** The default costs. */
        public val DEFAULT: PlacementCosts =
            PlacementCosts(
                prefillTokensPerMilli = 50.0,
                attentionMillisPerMegapair = 0.37,
                decodeStagePrefillFactor = 2.0,
                firstTokenMillis = 20.0,
                splitCallMillis = 10.0,
                streamDelayMillis = 0.5,
                latePrice = 0.6,
                timeoutPrice = 0.5,
                decodeStepMillis = 5.0,
                disturbancePrice = 0.02,
                remoteMegabytePrice = 8.0,
                cacheGigabytePrice = 0.022,
                remoteCacheFactor = 2.0,
                prefixOwnerBonus = 0.03,
                repeatedPrefillPrice = 0.05,
                fullUpstreamMillis = 40.0,
                remoteCallMillis = 20.0,
                failurePrice = 0.6,
                failureMillis = 200.0,
                coldStartMillis = 50.0,
            )
    }
}
