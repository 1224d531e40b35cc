package marigoldward.core.serving

/**
 * The recent reliability and speed of an upstream.
 *
 * @property failures the number of consecutive failures
 * @property ejectedUntilMillis until when it gets no requests, in milliseconds of monotonic time, or
 *     [Long.MIN_VALUE] if it is not ejected; after that time one attempt at a time probes it until one succeeds
 * @property prefillSlowdown the average of the actual divided by the expected prefill time, at least 1.0
 */
public data class UpstreamHealth(val failures: Int, val ejectedUntilMillis: Long, val prefillSlowdown: Double) {
    /** Holds the initial health. */
    public companion object {
        /** The health of an upstream before its first attempt. */
        public val UNKNOWN: UpstreamHealth = UpstreamHealth(0, Long.MIN_VALUE, 1.0)
    }
}
