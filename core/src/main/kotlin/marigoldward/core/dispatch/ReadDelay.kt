package marigoldward.core.dispatch

/** By how much a prompt was read later than expected, in milliseconds, as seen at [seenMillis] of monotonic time. */
public data class ReadDelay(val delayMillis: Double, val seenMillis: Long) {
    /** Returns the delay that is left of it at [nowMillis], in milliseconds: a queue shrinks once less comes. */
    public fun leftMillis(nowMillis: Long): Double =
        delayMillis * Math.exp(-(nowMillis - seenMillis) / LIFE_MILLIS)

    private companion object {
        /** In which time a queue of prompts that was seen has mostly been read, in milliseconds. */
        const val LIFE_MILLIS = 700.0
    }
}
