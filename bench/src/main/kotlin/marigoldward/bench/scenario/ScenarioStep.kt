package marigoldward.bench.scenario

/**
 * One step of a scenario file: a verb, positional words and `key=value` options.
 *
 * @property line the number of its line in the file, counted from 1
 */
internal data class ScenarioStep(
    val line: Int,
    val verb: String,
    val words: List<String>,
    val options: Map<String, String>,
) {
    /** Returns the word at [position], counted from 0 after the verb; fails if there is none. */
    fun word(position: Int): String =
        words.getOrNull(position) ?: fail("step \"$verb\" needs a word at position ${position + 1}")

    /** Returns the option [key] or [default]; fails if there is neither. */
    fun text(key: String, default: String? = null): String =
        options[key] ?: default ?: fail("step \"$verb\" needs the option \"$key\"")

    /** Returns the option [key] as a whole number, or [default]; fails if there is neither. */
    fun number(key: String, default: Long? = null): Long {
        val text = options[key] ?: return default ?: fail("step \"$verb\" needs the option \"$key\"")
        return text.toLongOrNull() ?: fail("option \"$key\" has the value \"$text\", which is not a whole number")
    }

    /** Throws a [ScenarioFailure] at this step. */
    fun fail(message: String): Nothing = throw ScenarioFailure(line, message)
}
