package marigoldward.control.routes

import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteProblem

/** The result of storing a route configuration. */
public sealed interface RouteStoreResult {
    /** The configuration is committed, and its [version] is in force. */
    public data class Stored(val version: Long) : RouteStoreResult

    /** Nothing changed: version [current] is in force, which is newer, or the same with the same content. */
    public data class Superseded(val current: Long) : RouteStoreResult

    /** Nothing changed: another content is in force under the same version, [current]. */
    public data class VersionTaken(val current: Long) : RouteStoreResult

    /** Nothing changed: the configuration is not valid. */
    public data class Invalid(val problem: RouteProblem) : RouteStoreResult

    /**
     * Nothing changed: this instance is not the leader, which alone accepts changes. [leader] is that instance, if
     * known.
     */
    public data class NotLeader(val leader: InstanceId?) : RouteStoreResult

    /** It is unknown whether the configuration will come into force, for [reason]. */
    public data class Unknown(val reason: String) : RouteStoreResult
}
