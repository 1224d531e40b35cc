package marigoldward.core.dispatch

/**
 * How long the engines of one stage keep what they have cached, counted in tokens that an entry sends there.
 *
 * @property takenTokens the new tokens that the entry has sent to them so far
 * @property keptTokens after how many more such tokens they have dropped what was not used again
 */
public data class CacheSpan(val takenTokens: Long, val keptTokens: Long) {
    /** Whether what was used when [takenTokens] was [takenAtUse] is still kept. */
    public fun isKept(takenAtUse: Long): Boolean = takenTokens - takenAtUse < keptTokens

    /** Creates spans. */
    public companion object {
        /** The span of engines of which nothing is known. */
        public val UNKNOWN: CacheSpan = CacheSpan(0, Long.MAX_VALUE)
    }
}
