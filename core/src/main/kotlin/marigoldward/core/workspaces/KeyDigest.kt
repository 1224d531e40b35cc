package marigoldward.core.workspaces

import java.security.MessageDigest
import java.util.HexFormat

/**
 * The digest by which an API key is looked up and named in logs. The key can't be derived from it, unless the key can be
 * guessed.
 */
@JvmInline
public value class KeyDigest private constructor(
    /** The first 128 bits of the SHA-256 digest, as hexadecimal digits. */
    public val text: String,
) {
    override fun toString(): String = text

    public companion object {
        private const val DIGEST_BYTES = 16

        /** The greatest length of a key. Longer ones are not digested, so that callers can't make a look-up expensive. */
        public const val MAX_KEY_CHARACTERS: Int = 1_024

        /** Returns the digest of [key], or null if it is empty or has more than [MAX_KEY_CHARACTERS] characters. */
        public fun ofOrNull(key: String): KeyDigest? {
            if (key.length !in 1..MAX_KEY_CHARACTERS) return null
            val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
            return KeyDigest(HexFormat.of().formatHex(digest, 0, DIGEST_BYTES))
        }
    }
}
