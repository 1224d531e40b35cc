package marigoldward.gateway.session

import com.dynatrace.hash4j.hashing.Hashing
import marigoldward.core.control.Fingerprint
import marigoldward.core.dispatch.PromptPart
import marigoldward.gateway.message.RequestHead
import java.util.HexFormat

/** Computes the fingerprints by which requests that crash upstreams are recognized. */
internal object RequestFingerprints {
    private val hasher = Hashing.komihash5_0()
    private val PART_SEED = hasher.hashCharsToLong("part")

    /** Returns the fingerprint of a request with [head] and [body]; the headers but the host have no influence. */
    fun of(head: RequestHead, body: ByteArray): Fingerprint {
        val target = "${head.method} ${head.headers.first("Host").orEmpty()} ${head.target}"
        return toFingerprint(hasher.hashLongLongToLong(hasher.hashCharsToLong(target), hasher.hashBytesToLong(body)))
    }

    /** Returns the fingerprint of [part], which is the same in every prompt. */
    fun of(part: PromptPart): Fingerprint =
        toFingerprint(hasher.hashLongLongToLong(PART_SEED, hasher.hashCharsToLong(part.id)))

    private fun toFingerprint(hash: Long): Fingerprint = Fingerprint.parse(HexFormat.of().toHexDigits(hash))
}
