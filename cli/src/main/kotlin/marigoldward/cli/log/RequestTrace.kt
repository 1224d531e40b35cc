package marigoldward.cli.log

import java.time.Duration

/**
 * What the logs of the entries say about one request.
 *
 * @property lines its own lines, in order
 * @property others what else the logs hold
 */
internal class RequestTrace private constructor(private val lines: List<LogLine>, private val others: List<LogLine>) {
    private val end = lines.lastOrNull { it.event in ENDS }

    /** Whether the logs have the request. */
    val isKnown: Boolean get() = lines.isNotEmpty()

    /** Returns its lines with the milliseconds since the first, then what the process believed, then the cause. */
    fun describe(): List<String> = lines.map(::step) + beliefs() + "cause=\"${cause()}\""

    /** Returns why the request ended as it did, as far as the logs tell. */
    fun cause(): String {
        val last = end ?: return "the logs have no end of it: it is under way, or its process was killed"
        val outcome = last["outcome"]
        return when {
            last.event == "rejected" -> "rejected: ${last["reason"]} at version ${last["routes_version"]} of the routes"
            outcome == null -> "the line of its end has no outcome"
            outcome == "answered" -> answered(last)
            outcome == "timed_out" -> "its time was over; ${atLastUpstream()}"
            outcome == "caller_left" -> "its caller left; ${atLastUpstream()}"
            outcome.startsWith(NOT_RUN) -> "it was refused and has not run: ${reason(outcome, NOT_RUN)}"
            outcome.startsWith(UNKNOWN) -> "it may have run: ${reason(outcome, UNKNOWN)}; ${atLastUpstream()}"
            outcome.startsWith(BROKEN) -> "its stream broke off: ${reason(outcome, BROKEN)}; ${atLastUpstream()}"
            else -> outcome
        }
    }

    private fun step(line: LogLine): String {
        val offsetMillis = Duration.between(lines.first().time, line.time).toMillis()
        val fields = (line.fields - "request").map { (name, value) -> "$name=$value" }.joinToString(" ")
        return "process=${line.process} offset_ms=$offsetMillis event=${line.event} $fields"
    }

    private fun beliefs(): List<String> = BELIEFS.mapNotNull { event ->
        val first = lines.first()
        val line = others.lastOrNull { it.event == event && it.process == first.process && it.time <= first.time }
        line?.let { "believed event=$event age_ms=${Duration.between(it.time, first.time).toMillis()} ${it.fields}" }
    }

    private fun answered(last: LogLine): String {
        val failed = lines.count { it.event == "attempt_ended" }
        return "answered with ${last["status"]} after ${last["took_ms"]} ms, " +
            "the first part after ${last["first_ms"]} ms, the longest pause ${last["pause_ms"] ?: 0} ms, " +
            "$failed attempts before; ${longestWait()}"
    }

    /** The longest time between two decisions about the request says where it waited. */
    private fun longestWait(): String {
        val longest = lines.zipWithNext().maxByOrNull { (one, next) -> Duration.between(one.time, next.time) }
            ?: return "nothing else is logged"
        val (one, next) = longest
        val place = one["upstream"]?.let { "upstream $it (${one["step"] ?: one.event})" } ?: one.event
        return "it spent ${Duration.between(one.time, next.time).toMillis()} ms at $place"
    }

    /** Whether the upstream served others meanwhile tells a lost answer from a dead upstream. */
    private fun atLastUpstream(): String {
        val sent = lines.lastOrNull { it.event == "sent" } ?: return "it was sent to no upstream"
        val until = end?.time ?: sent.time
        val upstream = sent["upstream"]
        val meanwhile = others.filter { it["upstream"] == upstream && it.time > sent.time && it.time <= until }
        val failures = meanwhile.count { it.event == "attempt_ended" && it["end"] in DEAD }
        val waitedMillis = Duration.between(sent.time, until).toMillis()
        return "it was at upstream $upstream for $waitedMillis ms, " +
            if (failures > 0) "which failed $failures others meanwhile" else "which failed no others meanwhile"
    }

    private fun reason(outcome: String, prefix: String): String = outcome.removePrefix(prefix).replace('_', ' ')

    companion object {
        private const val NOT_RUN = "not_run_"
        private const val UNKNOWN = "unknown_"
        private const val BROKEN = "broken_"
        private val ENDS = setOf("ended", "refused", "rejected")
        private val DEAD = setOf("unreachable", "silent", "broken")

        /** What an entry decides by besides the request, each with the line that says when it last changed. */
        private val BELIEFS = listOf("configuration_applied", "directory_changed", "control_followed", "control_lost")

        /** Returns what [logs] say of the request [id]. */
        fun fromLines(id: String, logs: List<LogLine>): RequestTrace {
            val (own, others) = logs.sortedBy { it.time }.partition { it["request"] == id }
            return RequestTrace(own, others)
        }
    }
}
