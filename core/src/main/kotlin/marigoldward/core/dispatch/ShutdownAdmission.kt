package marigoldward.core.dispatch

/**
 * Decides which requests a gateway that is shutting down still takes: those that end before the gateway does.
 *
 * A request ends at its deadline at the latest, but most end much earlier. The longest recent request of the same route,
 * with a margin, bounds how long a request is expected to take.
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
     * Returns whether a request on [route] that has [remainingMillis] until its deadline is expected to end within
     * [untilExitMillis], the time until the gateway ends its requests. If no request of the route has ended recently,
     * only the deadline counts.
     */
    public fun admits(route: String, remainingMillis: Long, untilExitMillis: Long, nowMillis: Long): Boolean {
        val longestMillis = longestByRoute[route]?.valueOrNull(nowMillis)
        val expectedMillis = longestMillis?.let { (it * MARGIN_FACTOR).toLong() + MARGIN_MILLIS } ?: Long.MAX_VALUE
        return minOf(remainingMillis, expectedMillis) <= untilExitMillis
    }

    private companion object {
        const val WINDOW_MILLIS = 10_000L

        /** Load moves from a gateway that shuts down to the others, so that requests may take longer than before. */
        const val MARGIN_FACTOR = 1.5
        const val MARGIN_MILLIS = 200L
    }
}
