package marigoldward.support.settings

/**
 * A problem in a settings or declaration file.
 *
 * @property line the line, counted from 1, or 0 if the problem does not belong to a single line
 */
public data class SettingsProblem(val file: String, val line: Int, val message: String) {
    /** Returns the problem as `file:line: message`, or as `file: message` if it has no line. */
    override fun toString(): String = if (line > 0) "$file:$line: $message" else "$file: $message"
}
