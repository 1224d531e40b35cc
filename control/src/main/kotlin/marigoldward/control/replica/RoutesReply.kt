package marigoldward.control.replica

import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument

/** The answer to a read of the route configuration. */
public sealed interface RoutesReply {
    /** The configuration in force is [document], or null if none was ever stored. */
    public data class Current(val document: RouteDocument?) : RoutesReply

    /**
     * This replica is not the leader, which alone knows the newest configuration. [leader] is its instance, if known.
     */
    public data class NotLeader(val leader: InstanceId?) : RoutesReply
}
