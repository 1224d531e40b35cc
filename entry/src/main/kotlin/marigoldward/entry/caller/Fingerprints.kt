package marigoldward.entry.caller

import marigoldward.core.control.Fingerprint
import java.security.MessageDigest
import java.util.HexFormat

/** Computes the fingerprints of requests. Equal requests have equal fingerprints, whoever sends them. */
internal object Fingerprints {
    private const val FINGERPRINT_BYTES = 16

    /** Returns the fingerprint of a request for [path] with the body [content]. */
    fun of(path: String, content: ByteArray): Fingerprint {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(path.toByteArray())
        digest.update(0)
        digest.update(content)
        return Fingerprint.parse(HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES))
    }
}
