package marigoldward.core.time

/**
 * The clocks of a process at one time. The monotonic clock stands still while the machine is suspended, and the time of
 * day may be set, so only both together tell how much time has passed.
 *
 * @property monotonicMillis the monotonic time, in milliseconds
 * @property epochMillis the time of day, in milliseconds since 1970
 */
public data class ClockReading(val monotonicMillis: Long, val epochMillis: Long) {
    /**
     * Returns the time since [earlier] in milliseconds, or null if it is unknown: the time of day was set, or the machine
     * was suspended.
     */
    public fun millisSinceOrNull(earlier: ClockReading): Long? {
        val monotonic = monotonicMillis - earlier.monotonicMillis
        val epoch = epochMillis - earlier.epochMillis
        return if (Math.abs(monotonic - epoch) > MAX_DIFFERENCE_MILLIS) null else maxOf(monotonic, epoch)
    }

    private companion object {
        /** More than clocks differ within some seconds while the time of day is being adjusted gradually. */
        const val MAX_DIFFERENCE_MILLIS = 200L
    }
}
