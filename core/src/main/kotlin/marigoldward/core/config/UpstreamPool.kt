package marigoldward.core.config

import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamKind

/**
 * A pool of interchangeable upstreams.
 *
 * @property model the model that callers name, or null for a plain service
 * @property pathPrefix the path that selects a plain service, or null for an engine pool
 * @property checksFencingToken whether its engines reject commands with an outdated fencing token
 * @property slots the number of requests that one upstream runs concurrently
 * @property prefillTokensPerSecond the prompt tokens that one engine processes per second
 * @property decodeTokensPerSecond the tokens that one engine generates per second over all its requests
 * @property kvCapacityTokens the number of tokens that fit in the KV cache of one engine
 * @property roleChangeMillis how long an engine is unavailable during a role change, in milliseconds
 */
public data class UpstreamPool(
    val name: PoolName,
    val kind: UpstreamKind,
    val model: String?,
    val pathPrefix: String?,
    val checksFencingToken: Boolean,
    val slots: Int,
    val prefillTokensPerSecond: Long,
    val decodeTokensPerSecond: Long,
    val kvCapacityTokens: Long,
    val roleChangeMillis: Long,
)
