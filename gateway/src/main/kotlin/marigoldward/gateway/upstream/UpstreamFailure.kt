package marigoldward.gateway.upstream

/** Why a call to an upstream has no whole answer. */
internal sealed interface UpstreamFailure {
    /** No byte was sent: no connection could be opened. */
    data class Unreachable(val reason: String) : UpstreamFailure

    /** The request was sent, and the connection broke or what came was no answer to it. */
    data class Broken(val reason: String) : UpstreamFailure
}
