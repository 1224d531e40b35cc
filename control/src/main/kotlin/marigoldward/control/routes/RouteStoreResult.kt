package marigoldward.control.routes

import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteProblem

/** What became of a configuration that an operator sent. */
public sealed interface RouteStoreResult {
    /** [version] is in force and can't be lost any more. */
    public data class Stored(val version: Long) : RouteStoreResult

    /** Nothing changed: [current], which is the same or newer, is in force. */
    public data class Superseded(val current: Long) : RouteStoreResult

    /** Nothing changed: another content is in force under the same number, [current]. */
    public data class VersionTaken(val current: Long) : RouteStoreResult

    /** Nothing changed: the configuration is not valid. */
    public data class Invalid(val problem: RouteProblem) : RouteStoreResult

    /** Nothing changed: only the instance that leads takes changes; that is [leader], if one is known. */
    public data class NotLeader(val leader: InstanceId?) : RouteStoreResult

    /** It may or may not come into force, for [reason]. */
    public data class Unknown(val reason: String) : RouteStoreResult
}
