package marigoldward.core.dispatch

/**
 * What placing a request costs. Prices are in parts of what a usual request is worth if it is on time.
 *
 * @property readTokensPerMilli the prompt tokens that a prefill engine reads in a millisecond
 * @property attentionMillisPerMegapair what each million pairs of a new token and one before it adds, in milliseconds
 * @property ownReadFactor how many times longer an engine takes that generates at the same time
 * @property firstTokenMillis the time from a prompt that has been read to the first event, in milliseconds
 * @property splitMillis the time of the second call when two engines share a request, in milliseconds
 * @property streamMillis how much each stream on an engine delays another, in milliseconds
 * @property latePrice what is lost if an answer is late
 * @property failPrice what is lost besides if it comes too late for the caller
 * @property stepMillis the time of a step of an engine that generates and reads nothing, in milliseconds
 * @property disturbPrice what reading a prompt on an engine that generates costs in any case
 * @property remoteMegabytePrice a megabyte of a request sent to another data centre
 * @property cacheGigabytePrice a gigabyte of KV cache moved within a data centre
 * @property remoteCacheFactor how many times more it costs, and longer it takes, to another data centre
 * @property homePrice what it is worth that an engine which generates keeps the shared part where all look for it
 * @property readAgainPrice a thousand tokens read that another engine keeps
 * @property fullServiceMillis the time that a plain service with all slots taken lets a request wait, in milliseconds
 * @property remoteCallMillis what calling a plain service in another data centre weighs, in milliseconds
 * @property failurePrice what is lost with an upstream that always fails
 * @property failureMillis what a plain service that always fails weighs, in milliseconds
 * @property coldMillis what an upstream that has just started weighs, in milliseconds
 */
public data class PlacementCosts(
    val readTokensPerMilli: Double,
    val attentionMillisPerMegapair: Double,
    val ownReadFactor: Double,
    val firstTokenMillis: Double,
    val splitMillis: Double,
    val streamMillis: Double,
    val latePrice: Double,
    val failPrice: Double,
    val stepMillis: Double,
    val disturbPrice: Double,
    val remoteMegabytePrice: Double,
    val cacheGigabytePrice: Double,
    val remoteCacheFactor: Double,
    val homePrice: Double,
    val readAgainPrice: Double,
    val fullServiceMillis: Double,
    val remoteCallMillis: Double,
    val failurePrice: Double,
    val failureMillis: Double,
    val coldMillis: Double,
) {
    /** The time that a prefill engine takes for [tokens] tokens at the end of [promptTokens], in milliseconds. */
    public fun readMillis(tokens: Int, promptTokens: Int = tokens): Double =
        tokens / readTokensPerMilli + attentionMillisPerMegapair * tokens * promptTokens / PAIRS_PER_MEGAPAIR

    /**
     * What is lost on average if the first event comes after [expectedMillis], should come after [targetMillis] and is
     * of no use after [leftMillis].
     */
    public fun latenessPrice(expectedMillis: Double, targetMillis: Long, leftMillis: Long): Double =
        latePrice * missedPart(expectedMillis, targetMillis, STEEPNESS) +
            failPrice * missedPart(expectedMillis, leftMillis, STEEPNESS) +
            expectedMillis * latePrice / IDLE_MILLIS

    /** What is lost on average with a stream that pauses for [pauseMillis] and may pause for [gapMillis]. */
    public fun pausePrice(pauseMillis: Double, gapMillis: Long): Double =
        latePrice * missedPart(pauseMillis, gapMillis, PAUSE_STEEPNESS)

    /** The part of what is expected after [expectedMillis] that comes after [limitMillis]. */
    private fun missedPart(expectedMillis: Double, limitMillis: Long, steepness: Double): Double {
        val overrun = expectedMillis / maxOf(1, limitMillis) - TURNING_POINT
        return 1 / (1 + Math.exp(-overrun * steepness))
    }

    /** Creates costs. */
    public companion object {
        private const val PAIRS_PER_MEGAPAIR = 1e6

        /** An answer that is expected after this part of its target is late as often as not. */
        private const val TURNING_POINT = 0.85

        /** At half the turning point one in thirty is late. */
        private const val STEEPNESS = 8.0

        /** Pauses are known better than waits: they follow from what the engine has to read. */
        private const val PAUSE_STEEPNESS = 20.0

        /** Among answers that are surely on time, or surely late, the sooner is better, but little. */
        private const val IDLE_MILLIS = 20_000.0

        /** The costs before anything was measured, from the users' sheets. */
        public val DEFAULT: PlacementCosts =
            PlacementCosts(
                readTokensPerMilli = 50.0,
                attentionMillisPerMegapair = 0.37,
                ownReadFactor = 2.0,
                firstTokenMillis = 20.0,
                splitMillis = 10.0,
                streamMillis = 0.5,
                latePrice = 0.6,
                failPrice = 0.5,
                stepMillis = 5.0,
                disturbPrice = 0.02,
                remoteMegabytePrice = 8.0,
                cacheGigabytePrice = 0.022,
                remoteCacheFactor = 2.0,
                homePrice = 0.03,
                readAgainPrice = 0.05,
                fullServiceMillis = 40.0,
                remoteCallMillis = 20.0,
                failurePrice = 0.6,
                failureMillis = 200.0,
                coldMillis = 50.0,
            )
    }
}
