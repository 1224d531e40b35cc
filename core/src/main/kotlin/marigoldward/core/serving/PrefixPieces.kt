package marigoldward.core.serving

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Splits prompts into pieces of fixed size, the unit in which engines cache prefixes.
 *
 * The hash of a piece also covers all pieces before it, so equal hashes mean equal prefixes.
 */
public object PrefixPieces {
    /** The size of a piece, in tokens. */
    public const val TOKENS_PER_PIECE: Long = 4_096

    /** The characters that count as one token, for want of a tokenizer. */
    public const val CHARACTERS_PER_TOKEN: Int = 4

    private const val MAX_PIECES = 64
    private const val CHARACTERS_PER_PIECE = (TOKENS_PER_PIECE * CHARACTERS_PER_TOKEN).toInt()

    /** Returns the estimated number of tokens of a text of [characters] characters, rounded up. */
    public fun estimateTokens(characters: Int): Long =
        ((characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN).toLong()

    /** Returns the hashes of the complete pieces of [text] in their order, at most 64, without a partial last piece. */
    public fun hashes(text: String): List<Long> {
        val count = minOf(text.length / CHARACTERS_PER_PIECE, MAX_PIECES)
        var previous = 0L
        return (0 until count).map { piece ->
            val start = piece * CHARACTERS_PER_PIECE
            val stream = Hashing.komihash5_0().hashStream()
            stream.putLong(previous)
            stream.putString(text.substring(start, start + CHARACTERS_PER_PIECE))
            previous = stream.asLong
            previous
        }
    }
}
