package marigoldward.support.program

import marigoldward.support.settings.SectionReader
import java.io.File
import java.io.IOException
import java.security.MessageDigest

/** The shared key of the operator interface and the calls between processes. It is never logged or printed. */
public class KeyFile private constructor(
    /** The text of the key. */
    public val secret: String,
) {
    /** Returns whether [offered] is the key. The comparison takes equal time for all wrong keys of the same length. */
    public fun accepts(offered: String?): Boolean =
        offered != null && MessageDigest.isEqual(offered.toByteArray(), secret.toByteArray())

    override fun toString(): String = "KeyFile(hidden)"

    /** Reads keys. */
    public companion object {
        private const val MIN_KEY_CHARACTERS = 16

        /** Reads the file that the entry [key] of [section] names. Reports a problem if it contains no valid key. */
        public fun read(section: SectionReader, key: String): KeyFile {
            val path = section.text(key)
            val secret =
                try {
                    File(path).readText().trim()
                } catch (_: IOException) {
                    ""
                }
            if (secret.length < MIN_KEY_CHARACTERS) {
                section.reject(
                    key,
                    "file \"$path\" of key \"$key\" does not contain a key of at least $MIN_KEY_CHARACTERS characters",
                )
            }
            return KeyFile(secret)
        }

        /** Returns the key with the given [secret]. */
        public fun fromSecret(secret: String): KeyFile = KeyFile(secret)
    }
}
