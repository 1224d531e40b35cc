package marigoldward.gateway.session

import marigoldward.core.dispatch.AttemptEnd
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.AnswerHead

/** What an upstream's whole answer is worth. */
internal sealed interface AnswerVerdict {
    /** It goes to the caller. */
    data object Good : AnswerVerdict

    /** The upstream says that it failed; goes to the caller if the request may not run again. */
    data object Failed : AnswerVerdict

    /** It does not go to the caller; the attempt ended as [end]. */
    data class Unusable(val end: AttemptEnd, val reason: String) : AnswerVerdict

    companion object {
        private const val SERVER_ERROR = 500

        /** The statuses by which this system promises that a request has not run. */
        private val PROMISES = setOf(408, 421, 429, 503)

        /** Judges an answer by its [head] and what it says of itself. */
        fun of(head: AnswerHead, facts: Dialect.AnswerFacts): AnswerVerdict = when {
            facts.isMisdirected -> Unusable(AttemptEnd.MISDIRECTED, "another upstream has the address")
            facts.isNotRun -> Unusable(AttemptEnd.NOT_RUN, "status ${head.status}")
            !facts.isSigned -> Unusable(AttemptEnd.BROKEN, "status ${head.status} without a signature")
            facts.isEncoded -> Unusable(AttemptEnd.BROKEN, "the body is encoded")
            head.status in PROMISES -> Unusable(AttemptEnd.BROKEN, "status ${head.status}, but it may have run")
            head.status >= SERVER_ERROR -> Failed
            else -> Good
        }
    }
}
