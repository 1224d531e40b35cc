package marigoldward.core.serving

/** Chooses the connections that are closed when the memory for requests is used up. */
public object StalledHolders {
    /** Below it, the memory that a connection holds is not worth its end. */
    private const val MIN_HELD_BYTES = 4_096L

    /** The share of the stalled memory that is freed at once, as one part in so many. */
    private const val FREED_PART = 4

    /**
     * A connection with a request that is not complete.
     *
     * @property heldBytes the memory that the request takes, in bytes
     * @property stalledMillis the time since the last byte of it, in milliseconds
     */
    public data class Holder(val heldBytes: Long, val stalledMillis: Long)

    /**
     * Returns the indices in [holders] of the connections to close: those that hold most for longest, by the product of
     * both, until a quarter of all stalled memory is freed. Empty if none is stalled.
     *
     * @param minStalledMillis how long a request has to be without progress to count as stalled, in milliseconds
     */
    public fun victims(holders: List<Holder>, minStalledMillis: Long): List<Int> {
        val stalled = holders.indices
            .filter { holders[it].stalledMillis >= minStalledMillis && holders[it].heldBytes >= MIN_HELD_BYTES }
            .sortedByDescending { holders[it].heldBytes.toDouble() * holders[it].stalledMillis }
        val targetBytes = stalled.sumOf { holders[it].heldBytes } / FREED_PART
        var freedBytes = 0L
        return stalled.takeWhile { index ->
            (freedBytes == 0L || freedBytes < targetBytes).also { freedBytes += holders[index].heldBytes }
        }
    }
}
