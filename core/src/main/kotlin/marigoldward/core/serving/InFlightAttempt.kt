package marigoldward.core.serving

import marigoldward.core.model.UpstreamId

/**
 * An attempt that was sent to an upstream and has not ended.
 *
 * @property dispatchedMillis when it was sent, in milliseconds of monotonic time
 * @property prefillTokens the prompt tokens to prefill, without those expected in the prefix cache
 * @property isPrefilled whether the prefill is complete
 */
public data class InFlightAttempt(
    val work: PendingWork,
    val route: Route,
    val dispatchedMillis: Long,
    val prefillTokens: Long,
    val isPrefilled: Boolean,
) {
    /** The upstreams that work on the attempt now, or soon will. */
    internal val runningUpstreams: Set<UpstreamId>
        get() = when (route) {
            is Route.Single -> setOf(route.upstream)
            is Route.Split -> if (isPrefilled) setOf(route.decode) else setOf(route.prefill, route.decode)
        }
}
