package marigoldward.controller.upstream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An engine's answer to `GET /engine/state`.
 *
 * @property openRequests the number of requests that run or wait at the engine
 * @property lastCommandId the id of the last command that the engine accepted, or null if there was none
 */
@Serializable
internal data class EngineStateMessage(
    val role: String,
    val model: String,
    val version: String,
    val adapters: List<String>,
    @SerialName("is_draining") val isDraining: Boolean,
    @SerialName("is_changing") val isChanging: Boolean,
    @SerialName("streams") val openRequests: Int,
    @SerialName("last_command_id") val lastCommandId: String? = null,
)

/**
 * The body of `POST /engine/commands`.
 *
 * @property token the fencing token of the sender's lease
 * @property kind the name of the command; the properties after it are its arguments
 */
@Serializable
internal data class EngineCommandMessage(
    @SerialName("command_id") val commandId: String,
    val token: Long,
    val kind: String,
    val role: String? = null,
    val model: String? = null,
    val version: String? = null,
    val adapter: String? = null,
)

/** An engine's answer to `POST /engine/commands`. */
@Serializable
internal data class EngineCommandAnswer(val result: String, val detail: String)
