package marigoldward.core.dispatch

/**
 * The last time a gateway sent a prefix to an engine.
 *
 * @property usedMillis the time, in milliseconds of monotonic time
 * @property sentTokens the tokens that the gateway had sent to engines of the same stage by then
 */
public data class PrefixUse(val usedMillis: Long, val sentTokens: Long)
