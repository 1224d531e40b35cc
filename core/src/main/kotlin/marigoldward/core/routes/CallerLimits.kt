package marigoldward.core.routes

/**
 * Limits on the requests and the connections of callers.
 *
 * @property maxHeaderBytes the largest size of the request line and the headers together
 * @property maxBodyBytes the largest size of a request body
 * @property headerTimeoutMillis the time from the first byte of a request to the end of its headers
 * @property idleTimeoutMillis how long a connection without a request is kept open
 */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
) {
    /** Creates limits. */
    public companion object {
        /** The limits until the first configuration is received. */
        public val DEFAULT: CallerLimits =
            CallerLimits(
                maxHeaderBytes = 16_384,
                maxBodyBytes = 4_194_304,
                headerTimeoutMillis = 5_000,
                idleTimeoutMillis = 15_000,
            )
    }
}
