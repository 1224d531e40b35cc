package marigoldward.core.dispatch

/**
 * How many steps of prompts an entry has lately sent to engines that generate, as an average that fades.
 *
 * @property steps the steps, each weighted by its age
 * @property seenMillis when [steps] was right, in milliseconds of monotonic time
 */
internal data class DirectReads(val steps: Double, val seenMillis: Long) {
    /** Returns the steps in a millisecond at [nowMillis]. */
    fun perMilli(nowMillis: Long): Double = left(nowMillis) / LIFE_MILLIS

    /** Returns the average after [added] more steps at [nowMillis]. */
    fun plus(added: Int, nowMillis: Long): DirectReads = DirectReads(left(nowMillis) + added, nowMillis)

    private fun left(nowMillis: Long): Double = steps * Math.exp(-(nowMillis - seenMillis) / LIFE_MILLIS)

    companion object {
        /** The age at which a step counts a third, in milliseconds: bursts last some seconds. */
        private const val LIFE_MILLIS = 1_000.0

        val NONE: DirectReads = DirectReads(0.0, 0)
    }
}
