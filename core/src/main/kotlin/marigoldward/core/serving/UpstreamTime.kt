package marigoldward.core.serving

/**
 * The time for which requests occupy upstreams, in milliseconds.
 *
 * @property prefillMillis the time to prefill prompts
 * @property decodeMillis the time to generate answers, or to serve requests that need no model
 */
public data class UpstreamTime(val prefillMillis: Double, val decodeMillis: Double) {
    /** The sum of [prefillMillis] and [decodeMillis]. */
    val totalMillis: Double get() = prefillMillis + decodeMillis

    internal operator fun plus(other: UpstreamTime): UpstreamTime =
        UpstreamTime(prefillMillis + other.prefillMillis, decodeMillis + other.decodeMillis)

    internal operator fun minus(other: UpstreamTime): UpstreamTime =
        UpstreamTime(prefillMillis - other.prefillMillis, decodeMillis - other.decodeMillis)

    /** Holds the zero time. */
    public companion object {
        /** No time. */
        public val NONE: UpstreamTime = UpstreamTime(0.0, 0.0)
    }
}
