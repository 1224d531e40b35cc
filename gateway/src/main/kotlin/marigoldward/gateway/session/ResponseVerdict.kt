package marigoldward.gateway.session

import marigoldward.core.dispatch.AttemptEnd
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.ResponseHead

/** How a session may use an upstream's complete response. */
internal sealed interface ResponseVerdict {
    /** The response is forwarded to the caller. */
    data object Usable : ResponseVerdict

    /** The upstream reports a server error. The response is forwarded to the caller if the request is not retried. */
    data object UpstreamError : ResponseVerdict

    /** The response is not forwarded to the caller; the attempt ended as [end]. */
    data class Unusable(val end: AttemptEnd, val reason: String) : ResponseVerdict

    companion object {
        private const val MIN_SERVER_ERROR_STATUS = 500

        /**
         * The statuses with which this system tells callers that a request did not run. A response with one of them
         * that is not marked as not run is not forwarded, because the request may have run.
         */
        private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

        /** Returns the verdict on a response with [head] and [metadata]. */
        fun of(head: ResponseHead, metadata: Dialect.ResponseMetadata): ResponseVerdict = when {
            metadata.isMisdirected -> Unusable(AttemptEnd.MISDIRECTED, "another upstream has the address")
            metadata.isNotRun -> Unusable(AttemptEnd.NOT_RUN, "status ${head.status}")
            !metadata.isSigned -> Unusable(AttemptEnd.BROKEN, "status ${head.status} without a signature")
            metadata.isContentEncoded -> Unusable(AttemptEnd.BROKEN, "the body is encoded")
            head.status in NOT_RUN_STATUSES -> Unusable(AttemptEnd.BROKEN, "status ${head.status}, but it may have run")
            head.status >= MIN_SERVER_ERROR_STATUS -> UpstreamError
            else -> Usable
        }
    }
}
