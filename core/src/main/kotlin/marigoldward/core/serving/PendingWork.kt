package marigoldward.core.serving

/**
 * A request together with what its next attempt needs to know of the earlier ones.
 *
 * @property attempt the number of the next attempt, from 1
 * @property deliveredTokens the number of tokens already delivered to the caller
 * @property mayHaveRun whether an earlier attempt may have reached an upstream
 * @property crashCount how many upstreams crashed while they ran the request
 * @property notBeforeMillis the earliest time of the next attempt, in milliseconds of monotonic time
 */
public data class PendingWork(
    val spec: RequestSpec,
    val attempt: Int,
    val deliveredTokens: Long,
    val mayHaveRun: Boolean,
    val crashCount: Int,
    val notBeforeMillis: Long,
) {
    /**
     * Whether an upstream crashed while it ran this request.
     *
     * Suspects are kept on separate upstreams, so that another crash can be attributed to a single request.
     */
    val isSuspect: Boolean get() = crashCount > 0

    /** Creates the work of new requests. */
    public companion object {
        /** Returns the first attempt of the request [spec], which may be sent at once. */
        public fun fromArrival(spec: RequestSpec): PendingWork = PendingWork(
            spec = spec,
            attempt = 1,
            deliveredTokens = 0,
            mayHaveRun = false,
            crashCount = 0,
            notBeforeMillis = spec.arrivedMillis,
        )
    }
}
