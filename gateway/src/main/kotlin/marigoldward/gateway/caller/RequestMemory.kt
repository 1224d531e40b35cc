package marigoldward.gateway.caller

/**
 * Bounds the memory that the bodies of all requests of a gateway take together. Confined to the event loop thread.
 *
 * @param maxBytes the largest sum of the bodies that are held at once
 */
internal class RequestMemory(private val maxBytes: Long) {
    /** The sum of the bodies that are held now. */
    var heldBytes: Long = 0
        private set

    /** Adds [bytes] to what is held and returns true, or returns false if that would be too much. */
    fun tryHold(bytes: Int): Boolean {
        if (heldBytes + bytes > maxBytes) return false
        heldBytes += bytes
        return true
    }

    /** Frees [bytes] that were held. */
    fun release(bytes: Long) {
        heldBytes -= bytes
    }

    companion object {
        /**
         * The heap in relation to the bodies: a body that is received lies in a buffer of up to twice its size, and is
         * copied once when it is complete and once when it is sent. The rest of the heap is for all else.
         */
        private const val HEAP_PER_BODY_BYTE = 6

        /** Returns a bound that suits the heap of this process. */
        fun ofHeap(): RequestMemory = RequestMemory(Runtime.getRuntime().maxMemory() / HEAP_PER_BODY_BYTE)
    }
}
