package marigoldward.core.workspaces

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/**
 * The digest by which an API key is looked up and named in messages: the first 128 bits of its SHA-256 digest. The key
 * can't be derived from it, unless the key can be guessed.
 *
 * Kept as two numbers rather than as text, as a configuration may have 100,000 keys on a machine with 290 MB.
 */
public data class KeyDigest private constructor(private val high: Long, private val low: Long) {
    /** The digest as 32 hexadecimal digits. */
    public val text: String get() = HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low)

    override fun toString(): String = text

    public companion object {
        /** The greatest length of a key. Longer ones are not digested, so that callers can't make a look-up expensive. */
        public const val MAX_KEY_CHARACTERS: Int = 1_024

        /** Returns the digest of [key], or null if it is empty or has more than [MAX_KEY_CHARACTERS] characters. */
        public fun ofOrNull(key: String): KeyDigest? {
            if (key.length !in 1..MAX_KEY_CHARACTERS) return null
            val digest = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))
            return KeyDigest(digest.getLong(), digest.getLong())
        }
    }
}
