package marigoldward.core.serving

import marigoldward.core.model.EngineRole

/**
 * The load that an upstream reported for itself. It may be out of date.
 *
 * @property streams the number of requests that run or wait at the upstream
 * @property prefillTokens the prompt tokens still to prefill
 * @property kvTokens the tokens whose KV cache is held for running requests
 * @property isAccepting whether the upstream accepts new requests
 * @property incarnation an opaque text that changes whenever the upstream restarts
 */
public data class LoadReport(
    val role: EngineRole,
    val streams: Int,
    val prefillTokens: Long,
    val kvTokens: Long,
    val isAccepting: Boolean,
    val incarnation: String,
)
