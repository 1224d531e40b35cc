package marigoldward.core.dispatch

/**
 * How long the engines of one stage keep a cached prefix, measured in tokens that one gateway sends to them.
 *
 * @property sentTokens the new tokens that the gateway has sent to them so far
 * @property keptTokens the further new tokens after which they have evicted a prefix that was not used again
 */
public data class CacheRetention(val sentTokens: Long, val keptTokens: Long) {
    /** Whether a prefix is still cached that was last used when [sentTokens] was [sentTokensAtUse]. */
    public fun isKept(sentTokensAtUse: Long): Boolean = sentTokens - sentTokensAtUse < keptTokens

    /** Creates retentions. */
    public companion object {
        /** The retention of engines without a known cache size: nothing is evicted. */
        public val UNKNOWN: CacheRetention = CacheRetention(0, Long.MAX_VALUE)
    }
}
