package marigoldward.core.routes

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @property maxHeaderBytes the request line and headers of one request, in bytes
 * @property maxBodyBytes the body of one request, in bytes
 * @property headerTimeoutMillis the time from the first byte of a request to the end of its headers, in milliseconds
 * @property idleTimeoutMillis how long a connection without a request is kept, in milliseconds
 */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
) {
    /** Creates limits. */
    public companion object {
        /** The limits before the first configuration. */
        public val DEFAULT: CallerLimits =
            CallerLimits(
                maxHeaderBytes = 16_384,
                maxBodyBytes = 4_194_304,
                headerTimeoutMillis = 5_000,
                idleTimeoutMillis = 15_000,
            )
    }
}
