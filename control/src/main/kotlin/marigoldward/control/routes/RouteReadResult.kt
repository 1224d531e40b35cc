package marigoldward.control.routes

import marigoldward.core.model.InstanceId

/** The result of reading the route configuration. */
public sealed interface RouteReadResult {
    /** The configuration in force is [content], as its operator sent it, or null if none was ever stored. */
    public class Current(public val content: ByteArray?) : RouteReadResult

    /**
     * This instance is not the leader, which alone knows the newest configuration. [leader] is that instance, if known.
     */
    public data class NotLeader(val leader: InstanceId?) : RouteReadResult

    /** The newest configuration is unknown: the replica was overloaded or did not answer in time. */
    public data object Unknown : RouteReadResult
}
