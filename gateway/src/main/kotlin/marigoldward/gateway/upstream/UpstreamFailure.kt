package marigoldward.gateway.upstream

import marigoldward.core.dispatch.AttemptEnd

/** Why a call to an upstream has no whole answer. */
internal sealed interface UpstreamFailure {
    /** What happened, for the log. */
    val reason: String

    /** How the attempt ended. */
    val end: AttemptEnd

    /** No byte was sent: no connection could be opened. */
    data class Unreachable(override val reason: String) : UpstreamFailure {
        override val end: AttemptEnd get() = AttemptEnd.UNREACHABLE
    }

    /** The request was sent, and the connection broke or what came was no answer to it. */
    data class Broken(override val reason: String) : UpstreamFailure {
        override val end: AttemptEnd get() = AttemptEnd.BROKEN
    }
}
