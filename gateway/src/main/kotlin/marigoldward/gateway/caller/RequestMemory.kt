package marigoldward.gateway.caller

import marigoldward.core.serving.CallerBounds
import marigoldward.core.serving.StalledHolders
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.defaultCallerBounds
import marigoldward.support.time.MonotonicClock

/**
 * Bounds the memory that the requests of all connections of a gateway take together, over all its listeners. Heads and
 * bodies have shares of their own, so that bodies do not crowd out requests without one. Confined to the event loop
 * thread.
 *
 * @property bounds the bounds of the sums, and of what each connection may hold
 */
internal class RequestMemory(val bounds: CallerBounds) {
    /** Bounds the bodies by [maxBytes], and all else as suits this process. */
    constructor(maxBytes: Long) : this(defaultCallerBounds().copy(bodyBytes = maxBytes))

    /** A connection that may hold a part of the memory. */
    interface Holder {
        /** The memory of the request that is being received, in bytes, and the time without a byte of it; null if none. */
        fun stalledOrNull(nowMillis: Long): StalledHolders.Holder?

        /** Refuses the request that is being received and frees its memory. */
        fun evict()

        /** The time without a request, in milliseconds, or null if the connection has one or probably gets one. */
        fun idleMillisOrNull(nowMillis: Long): Long?

        /** Closes the connection, which is idle. */
        fun closeIfIdle()
    }

    private val holders = LinkedHashSet<Holder>()
    private var lastEvictionMillis = Long.MIN_VALUE / 2
    private var lastCloseMillis = Long.MIN_VALUE / 2
    private val connectionRefusals = BoundedRefusalLog("connection_refused", GatewayMetrics::recordConnectionRefused)
    private val refusals = BoundedRefusalLog("request_memory_short", GatewayMetrics::recordMemoryShort)

    /** The sum of the bodies that are held now. */
    var heldBytes: Long = 0
        private set

    /** The sum of what the heads take that are held now. */
    var heldHeadBytes: Long = 0
        private set

    /** Whether heads take so much that a connection should not add one while another of its requests waits. */
    val areHeadsShort: Boolean get() = heldHeadBytes > bounds.headBytes / 2

    /** Adds [holder], whose connection [mayAccept] has let in. */
    fun add(holder: Holder) {
        holders.add(holder)
    }

    /**
     * Returns whether another connection may be opened besides the open ones and [acceptedCount] that are not added yet. If
     * not, closes one for the next: that which is idle for longest or, if none is, those whose requests are stalled.
     */
    fun mayAccept(acceptedCount: Int): Boolean {
        if (holders.size + acceptedCount < bounds.maxConnections) return true
        val nowMillis = MonotonicClock.nowMillis()
        connectionRefusals.record(nowMillis) { field("connections", holders.size) }
        if (nowMillis - lastCloseMillis >= EVICTION_PAUSE_MILLIS) {
            lastCloseMillis = nowMillis
            val idlest = holders.filter { it.idleMillisOrNull(nowMillis) != null }
                .maxByOrNull { it.idleMillisOrNull(nowMillis) ?: 0 }
            if (idlest != null) idlest.closeIfIdle() else evictStalled(nowMillis)
        }
        return false
    }

    fun remove(holder: Holder) {
        holders.remove(holder)
    }

    /** Adds [bytes] to what is held and returns true, or returns false if that would be too much. */
    fun tryHold(bytes: Int): Boolean {
        if (!fits(heldBytes, bytes.toLong(), bounds.bodyBytes)) {
            evictStalled("bodies")
            if (!fits(heldBytes, bytes.toLong(), bounds.bodyBytes)) return false
        }
        heldBytes += bytes
        return true
    }

    /** Frees [bytes] that were held. */
    fun release(bytes: Long) {
        heldBytes -= bytes
    }

    /** Adds [bytes] to what heads take and returns true, or returns false if that would be too much. */
    fun tryHoldHead(bytes: Long): Boolean {
        if (!fits(heldHeadBytes, bytes, bounds.headBytes)) {
            evictStalled("heads")
            if (!fits(heldHeadBytes, bytes, bounds.headBytes)) return false
        }
        heldHeadBytes += bytes
        return true
    }

    /** Frees [bytes] that heads took. */
    fun releaseHead(bytes: Long) {
        heldHeadBytes -= bytes
    }

    private fun fits(held: Long, added: Long, max: Long): Boolean = held + added <= max

    /** Refuses the stalled requests that hold most for longest. */
    private fun evictStalled(part: String) {
        val nowMillis = MonotonicClock.nowMillis()
        refusals.record(nowMillis) {
            field("part", part)
            field("body_bytes", heldBytes)
            field("head_bytes", heldHeadBytes)
            field("connections", holders.size)
        }
        if (nowMillis - lastEvictionMillis < EVICTION_PAUSE_MILLIS) return
        lastEvictionMillis = nowMillis
        evictStalled(nowMillis)
    }

    private fun evictStalled(nowMillis: Long) {
        val stalled = holders.mapNotNull { holder -> holder.stalledOrNull(nowMillis)?.let { it to holder } }
        val victims = StalledHolders.victims(stalled.map { it.first }, bounds.stalledMillis).toSet()
        stalled.filterIndexed { index, _ -> index in victims }.forEach { it.second.evict() }
    }

    companion object {
        /** A field of a few bytes takes this much: its entry in the decoder, two texts and an entry in the list. */
        private const val FIELD_BYTES = 200L

        /** A request without fields takes this much, with its target, its body and its place in the queue. */
        const val REQUEST_BYTES: Long = 1_000L

        /** Bounds how often all connections are looked at. */
        private const val EVICTION_PAUSE_MILLIS = 50L

        /** Returns a bound that suits the heap and the descriptors of this process. */
        fun ofHeap(): RequestMemory = RequestMemory(defaultCallerBounds())

        /** Returns the memory that [lines] lines of [bytes] bytes together take once they are decoded, in bytes. */
        fun fieldBytes(bytes: Int, lines: Int): Long = bytes + lines * FIELD_BYTES
    }
}
