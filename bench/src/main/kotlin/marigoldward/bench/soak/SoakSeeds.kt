package marigoldward.bench.soak

/** The seeds that are kept, one a line: the seed, then why. */
internal object SoakSeeds {
    /** Returns the seeds of [text]; empty lines and lines that start with `#` are left out. */
    fun read(text: String): List<Long> =
        text.lines().map { it.trim() }.filter { it.isNotEmpty() && !it.startsWith('#') }.map { line ->
            requireNotNull(line.substringBefore(' ').toLongOrNull()) { "\"$line\" does not begin with a seed" }
        }
}
