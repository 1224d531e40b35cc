package marigoldward.core.dispatch

import com.dynatrace.hash4j.hashing.Hashing

/**
 * What is known of the prompt of a generation.
 *
 * @property parts its parts in order; the last belongs to this request or its session alone
 * @property promptTokens the tokens to read
 * @property maxOutputTokens the most tokens that may be generated
 */
public data class Prompt(val parts: List<PromptPart>, val promptTokens: Int, val maxOutputTokens: Int) {
    /** The keys of the prefixes that end with each part, the shortest first; equal keys mean equal prefixes. */
    val prefixKeys: List<Long> by lazy {
        parts.runningFold(0L) { key, part -> Hashing.komihash5_0().hashLongLongToLong(key, hash(part.id)) }.drop(1)
    }

    /** The key of the longest prefix that other requests share, or null if there is none. */
    val sharedKey: Long? get() = if (parts.size < 2) null else prefixKeys[parts.size - 2]

    /** The tokens of the parts that other requests share. */
    val sharedTokens: Int get() = parts.dropLast(1).sumOf { it.tokens }

    private fun hash(id: String): Long = Hashing.komihash5_0().hashCharsToLong(id)
}
