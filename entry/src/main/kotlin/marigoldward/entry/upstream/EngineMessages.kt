package marigoldward.entry.upstream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An engine's answer to `GET /engine/load`.
 *
 * @property openRequests the number of requests that run or wait at the engine
 * @property incarnation an opaque text that changes whenever the engine restarts
 */
@Serializable
internal data class EngineLoadMessage(
    val role: String,
    @SerialName("streams") val openRequests: Int,
    @SerialName("prefill_tokens") val prefillTokens: Long,
    @SerialName("kv_tokens") val kvTokens: Long,
    @SerialName("is_accepting") val isAccepting: Boolean,
    val incarnation: String,
)

/** An engine's answer to `GET /engine/state`, without the fields that are not used here. */
@Serializable
internal data class EngineStateMessage(val incarnation: String)

/**
 * An engine's answer to `POST /engine/prefill`.
 *
 * @property kvHandle identifies the KV cache, for the engine that decodes
 * @property id the id of the request
 */
@Serializable
internal data class PrefillMessage(@SerialName("kv_handle") val kvHandle: String, val id: String)

/**
 * One event of a streamed completion.
 *
 * @property id the id of the request
 * @property tokenIndex the position of the token in the complete answer, from 0
 */
@Serializable
internal data class ChunkMessage(
    val id: String,
    @SerialName("token_index") val tokenIndex: Long,
    val choices: List<ChoiceMessage>,
) {
    /** A choice; chat completions have a [delta], text completions a [text]. */
    @Serializable
    data class ChoiceMessage(
        val delta: DeltaMessage? = null,
        val text: String? = null,
        @SerialName("finish_reason") val finishReason: String? = null,
    )

    /** The new part of a chat completion. */
    @Serializable
    data class DeltaMessage(val content: String? = null)

    /** The text of the first choice, or an empty text if there is none. */
    val newText: String get() = choices.firstOrNull()?.let { it.delta?.content ?: it.text }.orEmpty()

    /** Why the answer ends with this token, or null if more tokens follow. */
    val finishReason: String? get() = choices.firstOrNull()?.finishReason
}

/** An engine's answer to `GET /engine/cache-events`. */
@Serializable
internal data class CacheEventsMessage(val events: List<CacheEventMessage>) {
    /** A change of the prefix cache; [kind] is `stored` or `evicted`. */
    @Serializable
    data class CacheEventMessage(val sequence: Long, val kind: String, @SerialName("piece") val pieceHash: Long)
}
