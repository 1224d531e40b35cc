package marigoldward.gateway.upstream

import marigoldward.core.dispatch.AttemptEnd

/** Why a call to an upstream has no complete response. */
internal sealed interface UpstreamFailure {
    /** A description of the failure, which is logged and may become part of the outcome of the request. */
    val reason: String

    /** The end of the attempt that the failure stands for. */
    val end: AttemptEnd

    /** No connection could be opened, so no byte was sent. */
    data class Unreachable(override val reason: String) : UpstreamFailure {
        override val end: AttemptEnd get() = AttemptEnd.UNREACHABLE
    }

    /** The request was sent, and the connection was lost before the end of the response: the upstream may have crashed. */
    data class ConnectionLost(override val reason: String) : UpstreamFailure {
        override val end: AttemptEnd get() = AttemptEnd.BROKEN
    }

    /** The request was sent, and the response was malformed. */
    data class Broken(override val reason: String) : UpstreamFailure {
        override val end: AttemptEnd get() = AttemptEnd.BROKEN
    }

    /** The request was sent, and the gateway itself closed the connection before the end of the response. */
    data object Closed : UpstreamFailure {
        override val reason: String get() = "the gateway closed the connection"
        override val end: AttemptEnd get() = AttemptEnd.BROKEN
    }
}
