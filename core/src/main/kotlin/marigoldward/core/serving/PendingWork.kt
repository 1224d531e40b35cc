package marigoldward.core.serving

/**
 * A request together with what its next attempt needs to know of the earlier ones.
 *
 * @property attempt the number of the next attempt, from 1
 * @property deliveredTokens the number of tokens already delivered to the caller
 * @property mayHaveRun whether an earlier attempt may have reached an upstream
 * @property crashCount how many upstreams crashed one after the other while they ran the request or equal ones
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
     * Whether an upstream crashed while it ran this request or an equal one.
     *
     * Suspects are kept on separate upstreams, so that another crash can be attributed to a single request.
     */
    val isSuspect: Boolean get() = crashCount > 0

    /** Creates the work of new requests. */
    public companion object {
        /**
         * Returns the first attempt of the request [spec], which may be sent at once; [crashCount] upstreams crashed
         * while they ran equal requests.
         */
        public fun fromArrival(spec: RequestSpec, crashCount: Int): PendingWork = PendingWork(
            spec = spec,
            attempt = 1,
            deliveredTokens = 0,
            mayHaveRun = false,
            crashCount = crashCount,
            notBeforeMillis = spec.arrivedMillis,
        )
    }
}
