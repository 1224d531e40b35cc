package marigoldward.core.routes

import marigoldward.core.Outcome
import marigoldward.core.model.PoolName
import marigoldward.core.workspaces.Workspace
import marigoldward.core.workspaces.Workspaces

/**
 * A validated configuration of routes, services, limits and workspaces.
 *
 * @property version the version of the configuration; the highest one is in force
 * @property workspaces the workspaces, or null if requests need no key
 */
public class RouteConfiguration private constructor(
    public val version: Long,
    public val routes: List<Route>,
    public val services: Map<PoolName, ServiceDeclaration>,
    public val limits: CallerLimits,
    public val workspaces: Workspaces?,
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
        /**
         * Returns the configuration if it is valid, or else the first problem that was found.
         *
         * @param workspaces the workspaces whose keys requests need, or null if they need none
         */
        public fun check(
            version: Long,
            routes: List<Route>,
            services: List<ServiceDeclaration>,
            limits: CallerLimits,
            workspaces: List<Workspace>? = null,
        ): Outcome<RouteConfiguration, RouteProblem> {
            val declared = services.associateBy { it.name }
            val problem =
                routes.firstNotNullOfOrNull { routeProblemOrNull(it, declared) }
                    ?: duplicateRouteOrNull(routes)
                    ?: duplicateServiceOrNull(services)
                    ?: sharedKeyOrNull(workspaces.orEmpty())
            return if (problem == null) {
                val byKey = workspaces?.let(Workspaces::of)
                Outcome.Success(RouteConfiguration(version, routes, declared, limits, byKey))
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

        private fun sharedKeyOrNull(workspaces: List<Workspace>): RouteProblem? =
            Workspaces.sharedKeyOrNull(workspaces)?.let { RouteProblem.SharedKey(it.first, it.second, it.key) }
    }
}
