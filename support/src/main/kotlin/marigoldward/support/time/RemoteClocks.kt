package marigoldward.support.time

/**
 * Converts times of the monotonic clocks of other processes to the clock of this one.
 *
 * A message with the time at which it was sent bounds the difference of the two clocks: it can't have been received
 * before it was sent. The smallest of the recent differences is used, so that a message that was under way for long is
 * dated by those that were not. The first message of a clock is taken to have come at once. Only recent differences
 * count, because clocks drift, and because a monotonic clock may stand still while its machine is suspended: messages of
 * the next one to two windows are then dated as too old by the length of that time.
 *
 * Not thread-safe.
 */
public class RemoteClocks {
    private val clocks = LinkedHashMap<Long, Difference>()

    /**
     * Returns when, on the clock of this process, a message was sent at [sentMillis] of the clock [clockId]. The message
     * was received at [receivedMillis].
     */
    public fun toLocalMillis(clockId: Long, sentMillis: Long, receivedMillis: Long): Long {
        // Removed first, so that the clock becomes the last in the order of use.
        val difference = clocks.remove(clockId) ?: Difference()
        if (clocks.size >= MAX_CLOCKS) clocks.remove(clocks.keys.first())
        clocks[clockId] = difference
        difference.record(receivedMillis - sentMillis, receivedMillis)
        return sentMillis + difference.smallestMillis
    }

    /** Whether a message of the clock [clockId] was received, and the clock is still kept. */
    public fun isKnown(clockId: Long): Boolean = clockId in clocks

    /** The smallest difference within the last one to two windows in which a message was received. */
    private class Difference {
        private var windowStartMillis: Long? = null
        private var currentMillis = Long.MAX_VALUE
        private var previousMillis = Long.MAX_VALUE

        val smallestMillis: Long get() = minOf(currentMillis, previousMillis)

        fun record(differenceMillis: Long, nowMillis: Long) {
            val startMillis = windowStartMillis
            if (startMillis == null || nowMillis - startMillis >= WINDOW_MILLIS) {
                previousMillis = currentMillis
                currentMillis = Long.MAX_VALUE
                windowStartMillis = nowMillis
            }
            currentMillis = minOf(currentMillis, differenceMillis)
        }
    }

    private companion object {
        const val MAX_CLOCKS = 16

        /** Several times the silence after which a receiver gives up a connection; bounds the effect of a suspension. */
        const val WINDOW_MILLIS = 5_000L
    }
}
