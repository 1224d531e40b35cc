package marigoldward.support.http

import marigoldward.support.time.MonotonicClock

/**
 * Bounds the memory that the request bodies of a server take together. Each body takes its share before any of it is
 * received. Thread-safe.
 *
 * @param maxBytes the largest sum of the shares; a body that is larger is accepted while no other is held
 */
public class BodyBudget(private val maxBytes: Long) {
    private val shares = LinkedHashSet<Share>()

    /**
     * The share of one request.
     *
     * @param onEvicted called if the body is given up in favour of others
     */
    public inner class Share internal constructor(internal val bytes: Long, internal val onEvicted: () -> Unit) :
        AutoCloseable {
        internal val sinceMillis: Long = MonotonicClock.nowMillis()
        internal var isReceived: Boolean = false

        /** Marks the body as complete; it is not given up any more. */
        public fun markReceived() {
            synchronized(shares) { isReceived = true }
        }

        override fun close() {
            synchronized(shares) { shares.remove(this) }
        }
    }

    /**
     * Returns a share of [bytes] bytes, or null if there is not enough. Then it gives up the oldest body that is not
     * complete after [STALLED_MILLIS], so that the next request finds room.
     */
    public fun openOrNull(bytes: Long, onEvicted: () -> Unit): Share? {
        val evicted = synchronized(shares) {
            if (shares.isEmpty() || shares.sumOf { it.bytes } + bytes <= maxBytes) {
                return Share(bytes, onEvicted).also { shares.add(it) }
            }
            val oldestMillis = MonotonicClock.nowMillis() - STALLED_MILLIS
            shares.firstOrNull { !it.isReceived && it.sinceMillis <= oldestMillis }?.also { shares.remove(it) }
        }
        evicted?.onEvicted?.invoke()
        return null
    }

    private companion object {
        /** A configuration of 16 MiB arrives within it over 100 Mbit/s. */
        const val STALLED_MILLIS = 2_000L
    }
}
