package marigoldward.standin.engine

import marigoldward.core.serving.PrefixPieces

/** The prefix cache of an emulated engine: an LRU cache of prompt pieces, which records an event for each change. */
internal class PrefixCache(private val capacityTokens: Long) {
    private val pieces = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private var events = emptyList<CacheEvent>()
    private var nextSequence = 1L

    /**
     * Returns how many leading pieces of a prompt are cached, then adds all its pieces to the cache.
     *
     * @param promptPieces the hashes of the pieces of the prompt, as of [PrefixPieces.hashes]
     */
    @Synchronized
    fun lookUpAndStore(promptPieces: List<Long>): Int {
        val cached = promptPieces.takeWhile { it in pieces }.size
        promptPieces.forEach { piece ->
            if (piece !in pieces) recordEvent(CacheEvent.Kind.STORED, piece)
            pieces[piece] = Unit
        }
        evictOverCapacity()
        return cached
    }

    /** Empties the cache and drops all events, without a record of the evictions, as a crash of an engine does. */
    @Synchronized
    fun clear() {
        pieces.clear()
        events = emptyList()
    }

    /** Returns the events from sequence number [first] on. Only the newest 256 events are kept. */
    @Synchronized
    fun eventsFrom(first: Long): List<CacheEvent> = events.filter { it.sequence >= first }

    private fun evictOverCapacity() {
        while (pieces.size * PrefixPieces.TOKENS_PER_PIECE > capacityTokens) {
            val oldest = pieces.keys.first()
            pieces.remove(oldest)
            recordEvent(CacheEvent.Kind.EVICTED, oldest)
        }
    }

    private fun recordEvent(kind: CacheEvent.Kind, piece: Long) {
        events = (events + CacheEvent(nextSequence++, kind, piece)).takeLast(MAX_EVENTS)
    }

    private companion object {
        const val MAX_EVENTS = 256
    }
}
