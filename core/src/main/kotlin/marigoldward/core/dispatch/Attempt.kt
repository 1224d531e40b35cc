package marigoldward.core.dispatch

import marigoldward.core.model.UpstreamId

/**
 * One request that was sent to an upstream.
 *
 * @property number the unique number of the attempt in its dispatcher
 * @property prefillTokens the prompt tokens that the upstream is expected to process, 0 for a plain service
 * @property isPromptPending whether the prompt has still to be processed, or its KV cache to be received
 * @property startedMillis when it was sent, in milliseconds of monotonic time
 * @property kind the kind of work, for a request to a plain service; null if unknown
 * @property startNumber the start of the upstream that it was sent to
 */
public data class Attempt(
    val number: Long,
    val upstream: UpstreamId,
    val prefillTokens: Int,
    val isPromptPending: Boolean,
    val startedMillis: Long,
    val kind: String? = null,
    val startNumber: Long = 0,
) {
    /** Whether the upstream receives the KV cache of the prompt from another engine. */
    val isCacheTransfer: Boolean get() = prefillTokens == CACHE_TRANSFER_PREFILL_TOKENS

    /** Whether the upstream has still to process the prompt itself. */
    val isPrefillPending: Boolean get() = isPromptPending && !isCacheTransfer

    /** Holds the token count that marks a KV cache transfer. */
    public companion object {
        /** The prompt tokens that an engine processes after it has received a KV cache. */
        public const val CACHE_TRANSFER_PREFILL_TOKENS: Int = 1
    }
}
