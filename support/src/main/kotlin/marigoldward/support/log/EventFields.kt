package marigoldward.support.log

/** The `key=value` pairs of one log line. */
public class EventFields private constructor(event: String) {
    private val line = StringBuilder("event=").append(event)

    /** Adds one pair; a null [value] is written as `none`. */
    public fun field(key: String, value: Any?) {
        line.append(' ').append(key).append('=').append(quoted(value?.toString() ?: "none"))
    }

    internal fun toLine(): String = line.toString()

    private fun quoted(text: String): String {
        if (text.isNotEmpty() && text.none(::needsQuotes)) return text
        val escaped =
            text
                .replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r")
        return "\"$escaped\""
    }

    private fun needsQuotes(character: Char): Boolean =
        character.isWhitespace() || character == '"' || character == '=' || character == '\\'

    internal companion object {
        fun fromEvent(event: String): EventFields = EventFields(event)
    }
}
