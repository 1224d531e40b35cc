package marigoldward.standin

import java.util.zip.CRC32C

/**
 * The text that an emulated engine generates, in which each token is computed from the prompt and the token's index.
 *
 * A test that knows the prompt can thus check that an answer is complete and belongs to the prompt.
 */
public object AnswerText {
    private const val VOCABULARY_SIZE = 9_973L
    private const val INDEX_FACTOR = 31L

    /** Returns the token at [index], counted from 0, of the answer to the prompt with [promptHash]. */
    public fun token(promptHash: Long, index: Int): String =
        "w${(promptHash + INDEX_FACTOR * index) % VOCABULARY_SIZE} "

    /** Returns the first [count] tokens of the answer to [prompt]. */
    public fun answer(prompt: String, count: Int): String {
        val promptHash = promptHash(prompt)
        return (0 until count).joinToString("") { token(promptHash, it) }
    }

    /** Returns the CRC-32C checksum of [prompt]. */
    public fun promptHash(prompt: String): Long {
        val crc = CRC32C()
        crc.update(prompt.toByteArray())
        return crc.value
    }
}
