package marigoldward.control.routes

import marigoldward.core.model.InstanceId

/** The answer to an operator who reads the configuration of routes. */
public sealed interface RouteReadResult {
    /** [content] is in force; null before the first configuration. */
    public class Current(public val content: ByteArray?) : RouteReadResult

    /** Only the instance that leads can tell; that is [leader], if one is known. */
    public data class NotLeader(val leader: InstanceId?) : RouteReadResult

    /** This instance can't be sure which configuration is the newest. */
    public data object Unknown : RouteReadResult
}
