package marigoldward.entry.upstream

/** The reason why an attempt did not get a complete answer. */
internal sealed interface AttemptFailure {
    /**
     * The upstream did not run the request: either no byte of it was sent, or the upstream declared so.
     *
     * @property isUpstreamFault whether this counts as a failure of the upstream; false if it declined the request
     */
    data class NotRun(val reason: String, val isUpstreamFault: Boolean) : AttemptFailure

    /**
     * The upstream may have run the request.
     *
     * @property isCrash whether the upstream is known to have crashed
     */
    data class Broken(val reason: String, val isCrash: Boolean) : AttemptFailure

    /** The upstream rejected the request as invalid; its status and body go to the caller. */
    data class Rejected(val statusCode: Int, val body: String) : AttemptFailure
}
