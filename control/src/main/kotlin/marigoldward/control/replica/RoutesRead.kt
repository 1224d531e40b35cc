package marigoldward.control.replica

import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument

/** The answer to a read of the configuration of routes. */
public sealed interface RoutesRead {
    /** [document] is in force; null before the first. */
    public data class Current(val document: RouteDocument?) : RoutesRead

    /** Only the replica that leads can tell; that is [leader], if one is known. */
    public data class NotLeader(val leader: InstanceId?) : RoutesRead
}
