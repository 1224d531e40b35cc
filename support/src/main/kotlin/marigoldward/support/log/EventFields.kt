package marigoldward.support.log

/** The `key=value` pairs of one log line. */
public class EventFields private constructor(event: String) {
    private val line = StringBuilder("event=").append(event)

    /** Adds one pair; a null [value] is written as `none`, and a long one is cut. */
    public fun field(key: String, value: Any?) {
        val text = value?.toString() ?: "none"
        val shown = if (text.length <= MAX_VALUE_CHARS) text else text.take(MAX_VALUE_CHARS) + "..."
        line.append(' ').append(key).append('=').append(quoted(shown))
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
        /** Callers and upstreams decide how long some values are; lines wait in memory until they are written. */
        const val MAX_VALUE_CHARS: Int = 8_000

        fun fromEvent(event: String): EventFields = EventFields(event)
    }
}
