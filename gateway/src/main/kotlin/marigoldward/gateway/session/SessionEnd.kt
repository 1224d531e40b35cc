package marigoldward.gateway.session

import marigoldward.core.dispatch.Placement
import marigoldward.gateway.Dialect
import marigoldward.gateway.caller.CallerExchange
import marigoldward.gateway.message.ResponseHead
import java.util.Locale

/** The outcome of a request for which no upstream's response is forwarded. */
internal sealed interface SessionEnd {
    /** The outcome as written in logs and metrics. */
    val label: String

    /** The HTTP status of the response to the caller. */
    val status: Int

    /** The request did not and will not run; the caller may send it again after [retryAfterMillis]. */
    data class NotRun(val reason: String, val retryAfterMillis: Long) : SessionEnd {
        override val label: String get() = "not_run_$reason"
        override val status: Int get() = SERVICE_UNAVAILABLE

        companion object {
            /** A refusal by a gateway that shuts down; another one can serve the request at once. */
            val BY_SHUTDOWN: NotRun = NotRun("shutting_down", RETRY_AFTER_RANGE_MILLIS.first)

            /** A refusal of a request whose deadline passed before it could be sent. */
            val BY_DEADLINE: NotRun = NotRun("deadline_passed", RETRY_AFTER_RANGE_MILLIS.first)
        }
    }

    /** The request may have run. */
    data class Unknown(val reason: String) : SessionEnd {
        override val label: String get() = "unknown_$reason"
        override val status: Int get() = BAD_GATEWAY
    }

    /** The deadline passed; the request may have run. */
    data object TimedOut : SessionEnd {
        override val label: String get() = "timed_out"
        override val status: Int get() = GATEWAY_TIMEOUT
    }

    companion object {
        private const val BAD_GATEWAY = 502
        private const val SERVICE_UNAVAILABLE = 503
        private const val GATEWAY_TIMEOUT = 504
        private const val MILLIS_PER_SECOND = 1_000.0

        /** The range of `Retry-After`, in milliseconds. */
        private val RETRY_AFTER_RANGE_MILLIS = 50L..2_000L

        /**
         * Callers accept a `Retry-After` of at most a third of the time that they have left. The divisor is a little
         * larger than 3, because less time is left when the response arrives.
         */
        private const val REMAINING_TIME_DIVISOR = 3.5

        /** Returns the outcome of a request without a [placement] that has [remainingMillis] left. */
        fun fromPlacement(placement: Placement.None, remainingMillis: Long): NotRun =
            NotRun(placement.reason.name.lowercase(), retryAfterMillis(remainingMillis))

        /** Returns the time after which a caller that has [remainingMillis] left should send its request again. */
        fun retryAfterMillis(remainingMillis: Long): Long =
            (remainingMillis / REMAINING_TIME_DIVISOR).toLong().coerceIn(RETRY_AFTER_RANGE_MILLIS)

        /** Responds to the caller of [exchange] with [end]. */
        fun send(end: SessionEnd, requestId: String?, exchange: CallerExchange, dialect: Dialect) {
            val gatewayHeaders = dialect.gatewayResponseHeaders(requestId)
            val headers =
                if (end is NotRun) {
                    val seconds = String.format(Locale.ROOT, "%.3f", end.retryAfterMillis / MILLIS_PER_SECOND)
                    gatewayHeaders.plus("Retry-After", seconds)
                } else {
                    gatewayHeaders
                }
            exchange.respond(ResponseHead(end.status, headers), ByteArray(0))
        }
    }
}
