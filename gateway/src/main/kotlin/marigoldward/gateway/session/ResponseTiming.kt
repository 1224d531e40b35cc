package marigoldward.gateway.session

/**
 * The times at which the parts of one response were sent to its caller.
 *
 * @property firstPartMillis the time from the request to the first part, in milliseconds, or null before the first part
 * @property longestPauseMillis the longest time between two successive parts, in milliseconds, or null before the
 *   second part
 * @property lastPartSentMillis when the last part was sent, in milliseconds of monotonic time
 */
internal data class ResponseTiming(
    val firstPartMillis: Long?,
    val longestPauseMillis: Long?,
    private val lastPartSentMillis: Long,
) {
    /** Returns the timing after another part was sent at [nowMillis]; the request was received at [arrivedMillis]. */
    fun withPartSent(nowMillis: Long, arrivedMillis: Long): ResponseTiming {
        if (firstPartMillis == null) return ResponseTiming(nowMillis - arrivedMillis, null, nowMillis)
        return copy(
            longestPauseMillis = maxOf(longestPauseMillis ?: 0, nowMillis - lastPartSentMillis),
            lastPartSentMillis = nowMillis,
        )
    }

    companion object {
        /** The timing of a response of which no part was sent. */
        val NOT_STARTED: ResponseTiming = ResponseTiming(null, null, 0)
    }
}
