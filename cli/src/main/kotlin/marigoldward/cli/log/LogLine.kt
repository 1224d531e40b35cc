package marigoldward.cli.log

import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * A parsed line of a process's log.
 *
 * @property process the name of the file that the line was read from
 * @property time when the line was written, by the clock of the process's machine
 * @property event the name of the logged event
 * @property fields the remaining fields, without level and logger
 */
internal data class LogLine(
    val process: String,
    val time: Instant,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Returns the field [name], or null if it is missing or has the value `none`. */
    operator fun get(name: String): String? = fields[name]?.takeIf { it != "none" }

    companion object {
        private val FIELD_PATTERN = Regex("""(\w+)=("(?:[^"\\]|\\.)*"|\S*)""")

        /**
         * Parses [text], which may have other text before the fields, such as the prefix of a log collector.
         *
         * @return null if [text] has no event or no valid time
         */
        fun parseOrNull(process: String, text: String): LogLine? {
            val fields = FIELD_PATTERN.findAll(text).associate {
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
