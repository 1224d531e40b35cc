package marigoldward.core.dispatch

import com.dynatrace.hash4j.hashing.Hashing

/**
 * The structure and the size of a prompt.
 *
 * @property parts its parts in order; the last one is specific to the request or its session
 * @property promptTokens the number of tokens
 * @property maxOutputTokens the largest number of tokens that may be generated
 */
public data class Prompt(val parts: List<PromptPart>, val promptTokens: Int, val maxOutputTokens: Int) {
    /** The keys of the prefixes that end with each part, the shortest first. Equal keys mean equal prefixes. */
    val prefixKeys: List<Long> by lazy {
        parts.runningFold(0L) { key, part -> Hashing.komihash5_0().hashLongLongToLong(key, hash(part.id)) }.drop(1)
    }

    /** The key of the longest prefix that other requests may share, or null if there is none. */
    val sharedPrefixKey: Long? get() = if (parts.size < 2) null else prefixKeys[parts.size - 2]

    /** The parts that other requests may share: all but the last. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)

    /** The number of tokens of the longest prefix that other requests may share. Negative counts of parts are 0. */
    val sharedPrefixTokens: Long get() = sharedParts.sumOf { maxOf(0, it.tokens).toLong() }

    private fun hash(id: String): Long = Hashing.komihash5_0().hashCharsToLong(id)
}
