package marigoldward.support.time

import kotlin.random.Random

/** The monotonic clock of the process. It is unrelated to the date and never goes backwards. */
public object MonotonicClock {
    private const val NANOS_PER_MILLI = 1_000_000L

    /** Identifies the clock among those of other processes. */
    public val id: Long = Random.nextLong()

    /** Returns the time since an arbitrary origin, in milliseconds. */
    public fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI
}
