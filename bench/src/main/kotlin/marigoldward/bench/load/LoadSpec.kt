package marigoldward.bench.load

/**
 * An open-loop load of completions: each request is sent when it is due, whether or not earlier ones have ended.
 *
 * @property promptCharacters the approximate length of the longest prompts; lengths vary from a quarter of it
 * @property sharedPrefixPercent the percentage of prompts that begin with one of a few shared texts
 * @property marker a word at the end of each prompt, which emulated engines may react to
 * @property isRepeated whether all requests have the same prompt
 */
public data class LoadSpec(
    val model: String,
    val className: String,
    val caller: String,
    val requestsPerSecond: Double,
    val requests: Int,
    val promptCharacters: Int,
    val maxTokens: Int,
    val sharedPrefixPercent: Int,
    val marker: String,
    val isRepeated: Boolean,
    val seed: Long,
)
