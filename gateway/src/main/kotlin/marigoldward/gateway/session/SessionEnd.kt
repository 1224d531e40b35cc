package marigoldward.gateway.session

import marigoldward.core.dispatch.Placement
import marigoldward.gateway.Dialect
import marigoldward.gateway.caller.CallerExchange
import marigoldward.gateway.message.AnswerHead
import java.util.Locale

/** How a request ends that has no answer of an upstream. */
internal sealed interface SessionEnd {
    /** The name in logs and metrics. */
    val label: String

    /** The status that the caller gets. */
    val status: Int

    /** It has not run and will not; the caller may come again after [retryAfterMillis]. */
    data class NotRun(val reason: String, val retryAfterMillis: Long) : SessionEnd {
        override val label: String get() = "not_run_$reason"
        override val status: Int get() = SERVICE_UNAVAILABLE
    }

    /** It may have run. */
    data class Unknown(val reason: String) : SessionEnd {
        override val label: String get() = "unknown_$reason"
        override val status: Int get() = BAD_GATEWAY
    }

    /** Its time is over; it may have run. */
    data object TimedOut : SessionEnd {
        override val label: String get() = "timed_out"
        override val status: Int get() = GATEWAY_TIMEOUT
    }

    companion object {
        private const val BAD_GATEWAY = 502
        private const val SERVICE_UNAVAILABLE = 503
        private const val GATEWAY_TIMEOUT = 504
        private const val MILLIS_PER_SECOND = 1_000.0

        /** The shortest and longest time to come again, in milliseconds. */
        private val RETRY_AFTER_MILLIS = 50L..2_000L

        /** Callers wait for a third of the time that they have left at most; a little less, as it comes a bit later. */
        private const val RETRY_PARTS = 3.5

        /** Returns the end of a request that [placement] found nothing for and that has [leftMillis] left. */
        fun fromPlacement(placement: Placement.None, leftMillis: Long): NotRun =
            NotRun(placement.reason.name.lowercase(), retryAfter(leftMillis))

        /** Returns when a caller that has [leftMillis] left should come again. */
        fun retryAfter(leftMillis: Long): Long = (leftMillis / RETRY_PARTS).toLong().coerceIn(RETRY_AFTER_MILLIS)

        /** Sends [end] to the caller of [exchange]. */
        fun send(end: SessionEnd, requestId: String?, exchange: CallerExchange, dialect: Dialect) {
            val own = dialect.ownHeaders(requestId)
            val headers =
                if (end is NotRun) {
                    val seconds = String.format(Locale.ROOT, "%.3f", end.retryAfterMillis / MILLIS_PER_SECOND)
                    own.plus("Retry-After", seconds)
                } else {
                    own
                }
            exchange.answer(AnswerHead(end.status, headers), ByteArray(0))
        }
    }
}
