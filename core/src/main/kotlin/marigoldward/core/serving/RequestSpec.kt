package marigoldward.core.serving

import marigoldward.core.config.PriorityClass
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.CallerId
import marigoldward.core.model.PoolName
import marigoldward.core.model.RequestId

/**
 * The properties of a request that admission, ordering and routing depend on.
 *
 * @property promptTokens the length of the prompt in tokens, or 0 for an upstream without a model
 * @property pieceHashes the hashes of the prompt's complete pieces, see [PrefixPieces.hashes]
 * @property outputTokens the maximum number of tokens to generate, or 0 for an upstream without a model
 * @property arrivedMillis when it arrived, in milliseconds of monotonic time
 * @property deadlineMillis when it must have ended, in milliseconds of monotonic time
 * @property isRepeatable whether it may be sent again after an earlier attempt may have run
 * @property fingerprint identifies equal requests, so that those which crash upstreams can be quarantined
 */
public data class RequestSpec(
    val id: RequestId,
    val pool: PoolName,
    val priority: PriorityClass,
    val caller: CallerId,
    val promptTokens: Long,
    val pieceHashes: List<Long>,
    val outputTokens: Long,
    val arrivedMillis: Long,
    val deadlineMillis: Long,
    val isRepeatable: Boolean,
    val fingerprint: Fingerprint,
) {
    /** The KV cache needed for the prompt and the longest answer, in tokens. */
    val kvTokens: Long get() = promptTokens + outputTokens
}
