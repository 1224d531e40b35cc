package marigoldward.cli.log

import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * One line of a process's log.
 *
 * @property process the file that it was read from
 * @property time when it was written, by the clock of its process
 * @property event what happened
 * @property fields the other fields
 */
internal data class LogLine(
    val process: String,
    val time: Instant,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Returns the field [name], or null if the line has none or says `none`. */
    operator fun get(name: String): String? = fields[name]?.takeIf { it != "none" }

    companion object {
        private val FIELD = Regex("""(\w+)=("(?:[^"\\]|\\.)*"|\S*)""")

        /** Returns the line that [text] holds, whatever stands before it, or null if it is no line of a log. */
        fun parseOrNull(process: String, text: String): LogLine? {
            val fields = FIELD.findAll(text).associate {
                it.groupValues[1] to it.groupValues[2].removeSurrounding("\"")
            }
            val event = fields["event"] ?: return null
            val time =
                try {
                    Instant.parse(fields["time"] ?: return null)
                } catch (_: DateTimeParseException) {
                    return null
                }
            return LogLine(process, time, event, fields - setOf("event", "time", "level", "logger"))
        }
    }
}
