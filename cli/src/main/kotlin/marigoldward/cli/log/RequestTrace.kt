package marigoldward.cli.log

import java.time.Duration

/**
 * The history of one request, reconstructed from the logs of the entries.
 *
 * @property lines the lines about the request, by time
 * @property others all other lines, by time
 */
internal class RequestTrace private constructor(private val lines: List<LogLine>, private val others: List<LogLine>) {
    private val endLine = lines.lastOrNull { it.event in END_EVENTS }

    /** Whether any line is about the request. */
    val isKnown: Boolean get() = lines.isNotEmpty()

    /**
     * Returns the request's lines with the milliseconds since the first, then the state that the process had last
     * logged before the request, then the cause.
     */
    fun describe(): List<String> = lines.map(::formatLine) + stateAtStart() + "cause=\"${cause()}\""

    /** Returns why the request ended as it did, as far as the logs show. */
    fun cause(): String {
        val last =
            endLine ?: return "the logs have no end of the request: it is still running, or its process was killed"
        val outcome = last["outcome"]
        return when {
            last.event == "rejected" -> "rejected: ${last["reason"]} at version ${last["routes_version"]} of the routes"
            outcome == null -> "the end of the request was logged without an outcome"
            outcome == "answered" -> describeAnswer(last)
            outcome == "timed_out" -> "its time was over; ${describeLastUpstream()}"
            outcome == "caller_left" -> "its caller disconnected; ${describeLastUpstream()}"
            outcome.startsWith(NOT_RUN_PREFIX) ->
                "it was refused and has not run: ${formatReason(outcome, NOT_RUN_PREFIX)}"
            outcome.startsWith(UNKNOWN_PREFIX) ->
                "it may have run: ${formatReason(outcome, UNKNOWN_PREFIX)}; ${describeLastUpstream()}"
            outcome.startsWith(BROKEN_PREFIX) ->
                "its stream broke off: ${formatReason(outcome, BROKEN_PREFIX)}; ${describeLastUpstream()}"
            else -> outcome
        }
    }

    private fun formatLine(line: LogLine): String {
        val offsetMillis = Duration.between(lines.first().time, line.time).toMillis()
        val fields = (line.fields - "request").map { (name, value) -> "$name=$value" }.joinToString(" ")
        return "process=${line.process} offset_ms=$offsetMillis event=${line.event} $fields"
    }

    private fun stateAtStart(): List<String> = STATE_EVENTS.mapNotNull { event ->
        val first = lines.first()
        val line = others.lastOrNull { it.event == event && it.process == first.process && it.time <= first.time }
        line?.let { "believed event=$event age_ms=${Duration.between(it.time, first.time).toMillis()} ${it.fields}" }
    }

    private fun describeAnswer(last: LogLine): String {
        val failedAttempts = lines.count { it.event == "attempt_ended" }
        return "answered with ${last["status"]} after ${last["took_ms"]} ms, " +
            "the first part after ${last["first_ms"]} ms, the longest pause ${last["pause_ms"] ?: 0} ms, " +
            "$failedAttempts attempts before; ${describeLongestWait()}"
    }

    /** Returns where the request waited longest: the longest gap between two of its lines shows it. */
    private fun describeLongestWait(): String {
        val longest = lines.zipWithNext().maxByOrNull { (previous, next) -> Duration.between(previous.time, next.time) }
            ?: return "nothing else is logged"
        val (previous, next) = longest
        val place =
            previous["upstream"]?.let { "upstream $it (${previous["step"] ?: previous.event})" } ?: previous.event
        return "it spent ${Duration.between(previous.time, next.time).toMillis()} ms at $place"
    }

    /**
     * Returns how long the last upstream had the request and how many other requests failed there meanwhile.
     *
     * If others failed too, the upstream was probably down; otherwise probably only this answer was lost.
     */
    private fun describeLastUpstream(): String {
        val sent = lines.lastOrNull { it.event == "sent" } ?: return "it was sent to no upstream"
        val until = endLine?.time ?: sent.time
        val upstream = sent["upstream"]
        val meanwhile = others.filter { it["upstream"] == upstream && it.time > sent.time && it.time <= until }
        val failures = meanwhile.count { it.event == "attempt_ended" && it["end"] in UPSTREAM_FAILURES }
        val waitedMillis = Duration.between(sent.time, until).toMillis()
        return "it was at upstream $upstream for $waitedMillis ms, " +
            if (failures > 0) "which failed $failures others meanwhile" else "which failed no others meanwhile"
    }

    private fun formatReason(outcome: String, prefix: String): String = outcome.removePrefix(prefix).replace('_', ' ')

    companion object {
        private const val NOT_RUN_PREFIX = "not_run_"
        private const val UNKNOWN_PREFIX = "unknown_"
        private const val BROKEN_PREFIX = "broken_"
        private val END_EVENTS = setOf("ended", "refused", "rejected")
        private val UPSTREAM_FAILURES = setOf("unreachable", "silent", "broken")

        /** The events that log a change of state on which an entry bases its decisions, besides the request itself. */
        private val STATE_EVENTS =
            listOf("configuration_applied", "directory_changed", "control_followed", "control_lost")

        /** Returns the trace of the request [id] in [logs], which may come from several processes in any order. */
        fun fromLines(id: String, logs: List<LogLine>): RequestTrace {
            val (requestLines, others) = logs.sortedBy { it.time }.partition { it["request"] == id }
            return RequestTrace(requestLines, others)
        }
    }
}
