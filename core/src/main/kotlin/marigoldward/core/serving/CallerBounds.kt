package marigoldward.core.serving

/**
 * The bounds on what all callers of a process together, and each connection, may take of it.
 *
 * @property bodyBytes the largest sum of the request bodies that are held at once, in bytes
 * @property headBytes the largest memory that the heads of all requests take at once, in bytes
 * @property maxConnections the largest number of open connections over all listeners for callers
 * @property maxRequestsAhead how many requests may wait on one connection behind the one that is served
 * @property maxHeadFields the largest number of fields of a head
 * @property stalledMillis the time without a byte of a request after which its memory may be freed for others
 */
public data class CallerBounds(
    val bodyBytes: Long,
    val headBytes: Long,
    val maxConnections: Int,
    val maxRequestsAhead: Int = DEFAULT_REQUESTS_AHEAD,
    val maxHeadFields: Int = DEFAULT_HEAD_FIELDS,
    val stalledMillis: Long = DEFAULT_STALLED_MILLIS,
) {
    /** Creates bounds. */
    public companion object {
        /** Some requests ahead keep a connection busy; more only take memory. */
        public const val DEFAULT_REQUESTS_AHEAD: Int = 64

        /** No head of 16,384 bytes has more: the shortest field, such as `a:`, takes 4 bytes with its line end. */
        public const val DEFAULT_HEAD_FIELDS: Int = 4_096

        /** A caller that sends nothing of its request for so long is slow or has stopped. */
        public const val DEFAULT_STALLED_MILLIS: Long = 500

        /**
         * The heap in relation to the bodies: a body that is received lies in a buffer of up to twice its size, and is
         * copied once when it is complete and once when it is sent. The rest of the heap is for all else.
         */
        private const val HEAP_PER_BODY_BYTE = 6

        /** The heap in relation to the heads, which are counted as what they take once they are decoded. */
        private const val HEAP_PER_HEAD_BYTE = 4

        /** The part of the descriptors that is kept for upstreams, other instances, files and the log: one in so many. */
        private const val RESERVED_DESCRIPTORS_PART = 4

        /** The least number of descriptors that are kept back: about 100 upstreams, and what the process itself opens. */
        private const val MIN_RESERVED_DESCRIPTORS = 200L
        private const val MIN_CONNECTIONS = 16L

        /** Returns the default bounds of a process with [heapBytes] of heap that may open [descriptors] descriptors. */
        public fun of(heapBytes: Long, descriptors: Long): CallerBounds {
            val reserved = maxOf(MIN_RESERVED_DESCRIPTORS, descriptors / RESERVED_DESCRIPTORS_PART)
            val connections = (descriptors - reserved).coerceIn(MIN_CONNECTIONS, Int.MAX_VALUE.toLong())
            return CallerBounds(heapBytes / HEAP_PER_BODY_BYTE, heapBytes / HEAP_PER_HEAD_BYTE, connections.toInt())
        }
    }
}
