package marigoldward.core.dispatch

/**
 * What placing a request costs, in milliseconds of a caller's time or what weighs as much.
 *
 * @property readTokensPerMilli the prompt tokens that a prefill engine reads in a millisecond
 * @property ownReadFactor how many times longer an engine takes that generates at the same time
 * @property disturbMillisPerStream what reading a thousand tokens costs each stream of an engine that generates
 * @property remoteCallMillis what sending a request to another data centre weighs
 * @property remoteCacheMillis what moving the KV cache of a thousand tokens to another data centre weighs
 * @property splitMillis the time of the second call when two engines share a request
 * @property streamMillis how much each stream on an engine delays another
 * @property fullServiceMillis the time that a plain service with all slots taken lets a request wait
 * @property failureMillis what an upstream that always fails weighs
 * @property coldMillis what an upstream that has just started weighs
 */
public data class PlacementCosts(
    val readTokensPerMilli: Double,
    val ownReadFactor: Double,
    val disturbMillisPerStream: Double,
    val remoteCallMillis: Double,
    val remoteCacheMillis: Double,
    val splitMillis: Double,
    val streamMillis: Double,
    val fullServiceMillis: Double,
    val failureMillis: Double,
    val coldMillis: Double,
) {
    /** The time that a prefill engine takes for [tokens] tokens, in milliseconds. */
    public fun readMillis(tokens: Int): Double = tokens / readTokensPerMilli

    /** What the way to an upstream weighs, in milliseconds. */
    public fun callMillis(isRemote: Boolean): Double = if (isRemote) remoteCallMillis else 0.0

    /** Creates costs. */
    public companion object {
        /** The costs before anything was measured, from the users' sheets. */
        public val DEFAULT: PlacementCosts =
            PlacementCosts(
                readTokensPerMilli = 50.0,
                ownReadFactor = 2.0,
                disturbMillisPerStream = 15.0,
                remoteCallMillis = 20.0,
                remoteCacheMillis = 2.0,
                splitMillis = 15.0,
                streamMillis = 1.0,
                fullServiceMillis = 40.0,
                failureMillis = 200.0,
                coldMillis = 50.0,
            )
    }
}
