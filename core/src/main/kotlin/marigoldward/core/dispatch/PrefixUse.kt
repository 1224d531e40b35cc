package marigoldward.core.dispatch

/**
 * When an entry last sent a prefix to an engine.
 *
 * @property usedMillis the time, in milliseconds of monotonic time
 * @property takenTokens the tokens that the entry had sent to engines of the same stage by then
 */
public data class PrefixUse(val usedMillis: Long, val takenTokens: Long)
