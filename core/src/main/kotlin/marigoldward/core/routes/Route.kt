package marigoldward.core.routes

/**
 * One route of an operator's configuration.
 *
 * @property host the host that callers name, in lower case
 * @property pathPrefix the beginning of the path, with a slash at both ends
 * @property shares the services that serve it; at least one has a positive weight
 * @property timeoutMillis the longest time that a caller is kept waiting for the end of an answer, in milliseconds
 * @property targetLatencyMillis the time within which an answer, or the first event of a stream, is on time
 * @property targetGapMillis the longest pause between two events that is still on time, in milliseconds; 0 if none
 * @property priority the rank; 0 is the most urgent
 * @property maxAttempts how many upstreams may run one request
 * @property isResumable whether a stream may go on at another upstream after an event that was delivered
 * @property hasPrompts whether its requests name the parts of their prompts
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
) {
    /** Whether a request may run a second time after it may have run. */
    val isRepeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable)

    /** Returns the service for a request whose draw is [draw], a number from 0 until 1. */
    public fun serviceFor(draw: Double): ServiceShare {
        var left = draw * shares.sumOf { it.weight }
        for (share in shares) {
            left -= share.weight
            if (left < 0) return share
        }
        return shares.last { it.weight > 0 }
    }
}
