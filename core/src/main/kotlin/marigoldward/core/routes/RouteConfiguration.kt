package marigoldward.core.routes

import marigoldward.core.Outcome
import marigoldward.core.model.PoolName

/**
 * A validated configuration of routes, services and limits.
 *
 * @property version the version of the configuration; the highest one is in force
 */
public class RouteConfiguration private constructor(
    public val version: Long,
    public val routes: List<Route>,
    public val services: Map<PoolName, ServiceDeclaration>,
    public val limits: CallerLimits,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes
            .groupBy { it.host }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /**
     * Returns the route of [host] with the longest prefix of [path], or null if none matches. Case is ignored in the
     * host but not in the path.
     */
    public fun routeOrNull(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Validates configurations. */
    public companion object {
        /** Returns the configuration if it is valid, or else the first problem that was found. */
        public fun check(
            version: Long,
            routes: List<Route>,
            services: List<ServiceDeclaration>,
            limits: CallerLimits,
        ): Outcome<RouteConfiguration, RouteProblem> {
            val declared = services.associateBy { it.name }
            val problem =
                routes.firstNotNullOfOrNull { routeProblemOrNull(it, declared) }
                    ?: duplicateRouteOrNull(routes)
                    ?: duplicateServiceOrNull(services)
            return if (problem == null) {
                Outcome.Success(RouteConfiguration(version, routes, declared, limits))
            } else {
                Outcome.Failure(problem)
            }
        }

        private fun routeProblemOrNull(route: Route, services: Map<PoolName, ServiceDeclaration>): RouteProblem? {
            val undeclared = route.shares.firstOrNull { it.service !in services }
            val place = "route \"${route.name}\""
            return when {
                undeclared != null -> RouteProblem.UnknownService(route.name, undeclared.service.text)
                route.shares.any { it.weight < 0 } -> RouteProblem.BadValue(place, "a weight is negative")
                route.shares.sumOf { it.weight } == 0L -> RouteProblem.NoWeight(route.name)
                route.timeoutMillis == 0L -> RouteProblem.NoTimeout(route.name)
                route.timeoutMillis < 0 -> RouteProblem.BadValue(place, "the timeout is negative")
                route.maxAttempts < 1 -> RouteProblem.BadValue(place, "no attempt is allowed")
                !hasSlashAtBothEnds(route.pathPrefix) ->
                    RouteProblem.BadValue(place, "the path prefix does not begin and end with a slash")
                else -> null
            }
        }

        private fun hasSlashAtBothEnds(prefix: String): Boolean = prefix.startsWith("/") && prefix.endsWith("/")

        private fun duplicateRouteOrNull(routes: List<Route>): RouteProblem? = routes
            .groupBy { it.host to it.pathPrefix }
            .values
            .firstOrNull { it.size > 1 }
            ?.let { RouteProblem.SamePlace(it[0].name, it[1].name) }

        private fun duplicateServiceOrNull(services: List<ServiceDeclaration>): RouteProblem? = services
            .groupBy { it.name }
            .values
            .firstOrNull { it.size > 1 }
            ?.let { RouteProblem.BadValue("service \"${it[0].name}\"", "it is declared twice") }
    }
}
