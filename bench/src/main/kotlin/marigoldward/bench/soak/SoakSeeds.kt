package marigoldward.bench.soak

/** Parses the list of seeds that CI runs: one per line, each followed by the reason why it is in the list. */
internal object SoakSeeds {
    /**
     * Returns the seeds in [text]; empty lines and lines that start with `#` are skipped.
     *
     * @throws IllegalArgumentException if a line does not begin with a seed
     */
    fun parse(text: String): List<Long> =
        text.lines().map { it.trim() }.filter { it.isNotEmpty() && !it.startsWith('#') }.map { line ->
            requireNotNull(line.substringBefore(' ').toLongOrNull()) { "\"$line\" does not begin with a seed" }
        }
}
