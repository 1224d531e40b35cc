package marigoldward.entry.caller

import marigoldward.core.Outcome
import marigoldward.core.config.PriorityClass
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.model.CallerId
import org.http4k.core.Request

/**
 * The caller, the priority class and the idempotency key, as the headers of a request give them.
 *
 * A request without these headers is of the anonymous caller, in the default class, and has no key.
 */
internal data class CallerHeaders(val caller: CallerId, val priority: PriorityClass, val idempotencyKey: String?) {
    companion object {
        private const val CALLER_HEADER = "X-Caller"
        private const val PRIORITY_CLASS_HEADER = "X-Priority-Class"
        private const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
        private const val MAX_KEY_CHARACTERS = 255
        private const val BAD_REQUEST = 400
        private val ANONYMOUS = CallerId.parse("anonymous")

        /** Reads the headers of [request]; fails if a value is not valid or the class is not configured. */
        fun parse(request: Request, configuration: SiteConfiguration): Outcome<CallerHeaders, RequestProblem> {
            val callerText = request.header(CALLER_HEADER)
            val caller = if (callerText == null) ANONYMOUS else CallerId.parseOrNull(callerText)
            if (caller == null) {
                return invalid(
                    CALLER_HEADER,
                    "header \"$CALLER_HEADER\" has the value \"$callerText\", which is not a name",
                )
            }
            val className = request.header(PRIORITY_CLASS_HEADER) ?: configuration.defaultClass.text
            val priority = configuration.classOrNull(className)
            if (priority == null) {
                val allowed = configuration.classes.joinToString(", ") { it.name.text }
                return invalid(
                    PRIORITY_CLASS_HEADER,
                    "header \"$PRIORITY_CLASS_HEADER\" has the value \"$className\"; use one of $allowed",
                )
            }
            val key = request.header(IDEMPOTENCY_KEY_HEADER)
            if (key != null && (key.length !in 1..MAX_KEY_CHARACTERS || key.any { it !in ' '..'~' })) {
                return invalid(
                    IDEMPOTENCY_KEY_HEADER,
                    "header \"$IDEMPOTENCY_KEY_HEADER\" is not 1 to $MAX_KEY_CHARACTERS printable characters",
                )
            }
            return Outcome.Success(CallerHeaders(caller, priority, key))
        }

        private fun invalid(field: String, message: String): Outcome<CallerHeaders, RequestProblem> =
            Outcome.Failure(RequestProblem(BAD_REQUEST, field, message))
    }
}
