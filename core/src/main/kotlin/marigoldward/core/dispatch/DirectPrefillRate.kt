package marigoldward.core.dispatch

/**
 * Exponentially decaying sum of the prompt steps that a gateway has sent to engines in the decode stage.
 *
 * @property steps the steps, each weighted by its age
 * @property updatedMillis the time to which [steps] refers, in milliseconds of monotonic time
 */
internal data class DirectPrefillRate(val steps: Double, val updatedMillis: Long) {
    /** Returns the rate at [nowMillis], in steps per millisecond. */
    fun stepsPerMilli(nowMillis: Long): Double = remainingSteps(nowMillis) / DECAY_MILLIS

    /** Returns the rate after [added] more steps at [nowMillis]. */
    fun plus(added: Int, nowMillis: Long): DirectPrefillRate =
        DirectPrefillRate(remainingSteps(nowMillis) + added, nowMillis)

    private fun remainingSteps(nowMillis: Long): Double = steps * Math.exp(-(nowMillis - updatedMillis) / DECAY_MILLIS)

    companion object {
        /** The age at which the weight of a step has fallen to about a third; bursts last some seconds. */
        private const val DECAY_MILLIS = 1_000.0

        val NONE: DirectPrefillRate = DirectPrefillRate(0.0, 0)
    }
}
