package marigoldward.core.dispatch

/** The time by which a prompt was processed later than expected, as observed at [observedMillis] of monotonic time. */
public data class PrefillDelay(val delayMillis: Double, val observedMillis: Long) {
    /** Returns the delay that remains at [nowMillis]; it decays, since a queue shrinks once fewer prompts arrive. */
    public fun remainingMillis(nowMillis: Long): Double =
        delayMillis * Math.exp(-(nowMillis - observedMillis) / DECAY_MILLIS)

    /** Returns the moving average of this delay and one of [otherMillis] observed at [nowMillis]. */
    public fun averaged(otherMillis: Double, nowMillis: Long): PrefillDelay {
        val currentMillis = remainingMillis(nowMillis)
        return PrefillDelay(currentMillis + AVERAGE_WEIGHT * (otherMillis - currentMillis), nowMillis)
    }

    /** Creates delays. */
    public companion object {
        /** No delay. */
        public val NONE: PrefillDelay = PrefillDelay(0.0, Long.MIN_VALUE / 2)

        /** Weight of the newest delay in the average of all engines. */
        private const val AVERAGE_WEIGHT = 0.4

        /** The time in which most of an observed queue of prompts has been processed. */
        private const val DECAY_MILLIS = 700.0
    }
}
