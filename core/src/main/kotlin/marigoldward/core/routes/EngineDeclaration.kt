package marigoldward.core.routes

/**
 * The properties that an operator declares for the engines of a service.
 *
 * @property slots the number of requests that one engine runs at once
 * @property kvCapacityTokens the number of tokens whose KV cache fits in one engine
 * @property kvBytesPerToken the size of the KV cache of one token
 * @property linkMegabitsPerSecond the rate at which an engine sends KV cache
 * @property tokensPerEvent the number of tokens in one event of a stream
 * @property kvHandleLifetimeMillis how long an engine keeps a KV cache that it has computed for another engine
 * @property roleChangeMillis how long an engine is unavailable during a role change
 */
public data class EngineDeclaration(
    val slots: Int,
    val kvCapacityTokens: Long,
    val kvBytesPerToken: Long,
    val linkMegabitsPerSecond: Double,
    val tokensPerEvent: Int,
    val kvHandleLifetimeMillis: Long,
    val roleChangeMillis: Long,
)
