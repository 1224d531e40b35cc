package marigoldward.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The load of an engine, the answer to `GET /engine/load`. It may be as old as the engine's `report_lag_ms`.
 *
 * @property streams the number of running and waiting requests
 * @property prefillTokens the prompt tokens whose prefill is waiting or running
 * @property kvTokens the size of the KV caches of running requests
 * @property incarnation a random id that changes with each restart
 * @property prefilledTotal the prompt tokens processed so far
 * @property decodedTotal the tokens generated so far
 */
@Serializable
internal data class EngineLoad(
    val role: String,
    val streams: Int,
    @SerialName("prefill_tokens") val prefillTokens: Long,
    @SerialName("kv_tokens") val kvTokens: Long,
    @SerialName("is_accepting") val isAccepting: Boolean,
    val incarnation: String,
    @SerialName("prefilled_total") val prefilledTotal: Long,
    @SerialName("decoded_total") val decodedTotal: Long,
)

/**
 * The current state of an engine, the answer to `GET /engine/state`. Unlike the load, it has no delay.
 *
 * @property isChanging whether the engine is executing a command
 * @property streams the number of running and waiting requests
 * @property lastCommandId the last command that the engine accepted
 * @property highestToken the highest fencing token seen
 * @property incarnation a random id that changes with each restart
 */
@Serializable
internal data class EngineStateReply(
    val role: String,
    val model: String,
    val version: String,
    val adapters: List<String>,
    @SerialName("is_draining") val isDraining: Boolean,
    @SerialName("is_changing") val isChanging: Boolean,
    val streams: Int,
    @SerialName("last_command_id") val lastCommandId: String?,
    @SerialName("highest_token") val highestToken: Long,
    val incarnation: String,
)

/**
 * A command to an engine, sent with `POST /engine/commands`.
 *
 * @property token the fencing token of the sender
 * @property kind the kind of command, which decides which of the optional properties are required
 */
@Serializable
internal data class EngineCommandRequest(
    @SerialName("command_id") val commandId: String,
    val token: Long,
    val kind: String,
    val role: String? = null,
    val model: String? = null,
    val version: String? = null,
    val adapter: String? = null,
)

/**
 * The answer to a command.
 *
 * @property result `done`, `changing`, `busy`, `stale_token` or `unknown`
 */
@Serializable
internal data class EngineCommandReply(val result: String, val detail: String)

/** The answer to `GET /engine/cache-events`. */
@Serializable
internal data class CacheEventsReply(val events: List<CacheEvent>)

/**
 * The answer to `POST /engine/prefill`.
 *
 * @property kvHandle the handle with which a decode engine fetches the KV cache
 * @property id the request id
 */
@Serializable
internal data class PrefillReply(@SerialName("kv_handle") val kvHandle: String, val id: String)
