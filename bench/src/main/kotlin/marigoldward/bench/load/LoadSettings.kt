package marigoldward.bench.load

import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SectionReader

/**
 * The settings of the load program.
 *
 * @property seconds the duration of the load
 * @property phaseSeconds the duration of the phases, which alternate between prompt-heavy and output-heavy requests
 */
public data class LoadSettings(
    val entries: List<Balancer.EntryAddresses>,
    val model: String,
    val seconds: Int,
    val phaseSeconds: Int,
    val seed: Long,
    val classes: List<ClassLoad>,
) {
    /** The load and the latency targets of one priority class. */
    public data class ClassLoad(
        val className: String,
        val requestsPerSecond: Int,
        val promptCharacters: Int,
        val maxTokens: Int,
        val sharedPrefixPercent: Int,
        val firstTokenTargetMillis: Long,
        val betweenTokensTargetMillis: Long,
    )

    /** Reads settings. */
    public companion object {
        private const val MAX_SECONDS = 3_600L
        private const val MAX_REQUESTS_PER_SECOND = 2_000L
        private const val MAX_CHARACTERS = 4_000_000L
        private const val MAX_TOKENS = 8_192L
        private const val MAX_MILLIS = 3_600_000L
        private const val MAX_PERCENT = 100L

        /** Reads the settings in [document] and adds the problems found to [problems]. */
        public fun read(document: IniDocument, problems: ProblemList): LoadSettings {
            val classNames = document.sectionNames.filter { it.startsWith("class ") }
            document.requireOnly(listOf("load", "entries") + classNames, problems)
            val section = document.section("load", problems)
            val settings =
                LoadSettings(
                    entries = readEntries(document.section("entries", problems)),
                    model = section.text("model"),
                    seconds = section.integer("seconds", 1..MAX_SECONDS).toInt(),
                    phaseSeconds = section.integer("swing_s", 1..MAX_SECONDS, MAX_SECONDS).toInt(),
                    seed = section.integer("seed", 0..Long.MAX_VALUE, 1),
                    classes = classNames.map { readClass(it.removePrefix("class "), document.section(it, problems)) },
                )
            section.rejectUnknownKeys()
            return settings
        }

        /** Reads the entries: each key is the callers' address of an entry, its value the operators' address. */
        private fun readEntries(section: SectionReader): List<Balancer.EntryAddresses> =
            section.keys.map { Balancer.EntryAddresses(it, section.text(it)) }.also {
                if (it.isEmpty()) section.reject("", "the section \"entries\" lists no entry")
            }

        private fun readClass(name: String, section: SectionReader): ClassLoad {
            val load =
                ClassLoad(
                    className = name,
                    requestsPerSecond = section.integer("requests_per_second", 1..MAX_REQUESTS_PER_SECOND).toInt(),
                    promptCharacters = section.integer("prompt_characters", 1..MAX_CHARACTERS).toInt(),
                    maxTokens = section.integer("max_tokens", 1..MAX_TOKENS).toInt(),
                    sharedPrefixPercent = section.integer("shared_prefix_percent", 0..MAX_PERCENT, 0).toInt(),
                    firstTokenTargetMillis = section.integer("first_token_target_ms", 1..MAX_MILLIS),
                    betweenTokensTargetMillis = section.integer("between_tokens_target_ms", 1..MAX_MILLIS),
                )
            section.rejectUnknownKeys()
            return load
        }
    }
}
