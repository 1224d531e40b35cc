package marigoldward.core.control

import kotlinx.serialization.Serializable

/**
 * The claim of one attempt on an idempotency key. Only the attempt that holds the claim may run the request.
 *
 * @property attemptId the attempt that holds the claim; once it has released the claim, another attempt may take it
 * @property requestFingerprint the hash of the request, which detects the use of the same key for another request
 * @property claimedAtMillis when the key was claimed, in milliseconds since the epoch; used only to expire old claims
 * @property answer the response to the request, or null while none is stored
 */
@Serializable
public data class IdempotencyClaim(
    val attemptId: String,
    val requestFingerprint: String,
    val claimedAtMillis: Long,
    val answer: StoredAnswer? = null,
)
