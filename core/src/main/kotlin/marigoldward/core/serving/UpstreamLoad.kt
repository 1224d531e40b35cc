package marigoldward.core.serving

/**
 * An amount of load on one upstream.
 *
 * @property streams the number of requests
 * @property prefillTokens the prompt tokens still to prefill
 * @property kvTokens the tokens of KV cache that the requests need
 */
public data class UpstreamLoad(val streams: Int, val prefillTokens: Long, val kvTokens: Long) {
    internal operator fun plus(other: UpstreamLoad): UpstreamLoad =
        UpstreamLoad(streams + other.streams, prefillTokens + other.prefillTokens, kvTokens + other.kvTokens)

    internal operator fun minus(other: UpstreamLoad): UpstreamLoad =
        UpstreamLoad(streams - other.streams, prefillTokens - other.prefillTokens, kvTokens - other.kvTokens)

    internal fun withoutNegatives(): UpstreamLoad =
        UpstreamLoad(maxOf(0, streams), maxOf(0, prefillTokens), maxOf(0, kvTokens))

    /** Holds the zero load. */
    public companion object {
        /** No load. */
        public val NONE: UpstreamLoad = UpstreamLoad(0, 0, 0)
    }
}
