package marigoldward.gateway.session

/**
 * When the parts of one answer went to its caller.
 *
 * @property firstMillis the time from the request to the first part, in milliseconds, or null before it
 * @property longestPauseMillis the longest time between two parts, in milliseconds, or null before the second
 * @property lastMillis when the last part went, in milliseconds of monotonic time
 */
internal data class AnswerPace(val firstMillis: Long?, val longestPauseMillis: Long?, private val lastMillis: Long) {
    /** Returns the pace after a part went at [nowMillis] to the caller of a request that came at [arrivedMillis]. */
    fun after(nowMillis: Long, arrivedMillis: Long): AnswerPace {
        if (firstMillis == null) return AnswerPace(nowMillis - arrivedMillis, null, nowMillis)
        return copy(
            longestPauseMillis = maxOf(longestPauseMillis ?: 0, nowMillis - lastMillis),
            lastMillis = nowMillis,
        )
    }

    companion object {
        /** The pace of an answer that has not begun. */
        val NONE: AnswerPace = AnswerPace(null, null, 0)
    }
}
