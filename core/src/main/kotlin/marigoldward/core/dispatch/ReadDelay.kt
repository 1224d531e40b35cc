package marigoldward.core.dispatch

/** By how much a prompt was read later than expected, in milliseconds, as seen at [seenMillis] of monotonic time. */
public data class ReadDelay(val delayMillis: Double, val seenMillis: Long) {
    /** Returns the delay that is left of it at [nowMillis], in milliseconds: a queue shrinks once less comes. */
    public fun leftMillis(nowMillis: Long): Double = delayMillis * Math.exp(-(nowMillis - seenMillis) / LIFE_MILLIS)

    /** Returns this delay, as the average with one of [otherMillis] that was seen at [nowMillis]. */
    public fun averaged(otherMillis: Double, nowMillis: Long): ReadDelay {
        val beforeMillis = leftMillis(nowMillis)
        return ReadDelay(beforeMillis + AVERAGE_STEP * (otherMillis - beforeMillis), nowMillis)
    }

    /** Creates delays. */
    public companion object {
        /** No delay. */
        public val NONE: ReadDelay = ReadDelay(0.0, Long.MIN_VALUE / 2)

        /** The weight of the newest delay among those seen on all engines. */
        private const val AVERAGE_STEP = 0.4

        /** In which time a queue of prompts that was seen has mostly been read, in milliseconds. */
        private const val LIFE_MILLIS = 700.0
    }
}
