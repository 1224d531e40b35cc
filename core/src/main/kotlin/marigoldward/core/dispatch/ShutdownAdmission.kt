package marigoldward.core.dispatch

/**
 * Decides which requests a gateway that is shutting down still takes: those that end before the gateway does.
 *
 * A request ends at its deadline at the latest, but most end much earlier. The longest recent request of the same route,
 * with a margin, estimates how long a request takes. Only the deadline is certain: a request that outlasts its estimate
 * is cut off. So the estimate counts only while callers can't have heard of the shutdown yet.
 */
public class ShutdownAdmission {
    private val longestByRoute = HashMap<String, RecentMaximum>()

    /** Records that a request on [route] ended after [durationMillis], with whatever outcome. */
    public fun recordEnd(route: String, durationMillis: Long, nowMillis: Long) {
        longestByRoute.getOrPut(route) { RecentMaximum(WINDOW_MILLIS) }.record(durationMillis, nowMillis)
    }

    /** Forgets all routes but [routes]. */
    public fun retainRoutes(routes: Set<String>) {
        longestByRoute.keys.retainAll(routes)
    }

    /**
     * Returns whether to take a request on [route] that has [remainingMillis] until its deadline, when the gateway ends
     * its requests in [untilExitMillis].
     *
     * A request that may last longer than that is taken if [acceptsEstimate] is set and it is expected to end in time.
     * Without a recent request of the route there is no estimate.
     */
    public fun admits(
        route: String,
        remainingMillis: Long,
        untilExitMillis: Long,
        acceptsEstimate: Boolean,
        nowMillis: Long,
    ): Boolean = remainingMillis <= untilExitMillis ||
        (acceptsEstimate && expectedMillis(route, nowMillis) <= untilExitMillis)

    private fun expectedMillis(route: String, nowMillis: Long): Long {
        val longestMillis = longestByRoute[route]?.valueOrNull(nowMillis) ?: return Long.MAX_VALUE
        return (longestMillis * MARGIN_FACTOR).toLong() + MARGIN_MILLIS
    }

    private companion object {
        const val WINDOW_MILLIS = 10_000L

        /** Load moves from a gateway that shuts down to the others, so that requests may take longer than before. */
        const val MARGIN_FACTOR = 1.5
        const val MARGIN_MILLIS = 200L
    }
}
