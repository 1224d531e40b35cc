package marigoldward.core.routes

/**
 * A route: the requests that it matches, and how they are served.
 *
 * @property host the host name that callers send, in lower case
 * @property pathPrefix the prefix of the path, with a slash at both ends
 * @property shares the services that serve the route; the weights are not negative, and at least one is positive
 * @property timeoutMillis the longest time until the end of an answer
 * @property targetLatencyMillis the time within which an answer, or the first event of a stream, is on time
 * @property targetGapMillis the longest pause between two events that is on time; 0 if there is no such target
 * @property priority the rank of its requests; 0 is the most urgent
 * @property maxAttempts the number of upstreams that may run one request
 * @property isResumable whether a stream may continue on another upstream after events were delivered
 * @property hasPrompts whether requests describe the parts of their prompts
 * @property isPublic whether its requests need no key
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val shares: List<ServiceShare>,
    val timeoutMillis: Long,
    val targetLatencyMillis: Long,
    val targetGapMillis: Long,
    val priority: Int,
    val maxAttempts: Int,
    val isResumable: Boolean,
    val hasPrompts: Boolean,
    val isPublic: Boolean = false,
) {
    /** Whether a request that may have run already may run again. */
    val isRepeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable)

    /**
     * Returns the service for a request, chosen in proportion to the weights.
     *
     * @param draw a random number from 0 inclusive to 1 exclusive
     */
    public fun serviceFor(draw: Double): ServiceShare {
        var remaining = draw * shares.sumOf { it.weight }
        for (share in shares) {
            remaining -= share.weight
            if (remaining < 0) return share
        }
        return shares.last { it.weight > 0 }
    }
}
