package marigoldward.core.routes

/**
 * What an operator declares of the engines of a service.
 *
 * @property slots the requests that one engine runs at once
 * @property kvCapacityTokens the tokens whose KV cache fits in one engine
 * @property kvBytesPerToken the size of the KV cache of one token, in bytes
 * @property linkMegabitsPerSecond the rate at which an engine sends KV cache
 * @property tokensPerEvent how many tokens one event of a stream holds
 * @property handleMillis how long a KV cache that was read for another engine is kept, in milliseconds
 * @property roleChangeMillis how long an engine is away for a role change, in milliseconds
 */
public data class EngineDeclaration(
    val slots: Int,
    val kvCapacityTokens: Long,
    val kvBytesPerToken: Long,
    val linkMegabitsPerSecond: Double,
    val tokensPerEvent: Int,
    val handleMillis: Long,
    val roleChangeMillis: Long,
)
