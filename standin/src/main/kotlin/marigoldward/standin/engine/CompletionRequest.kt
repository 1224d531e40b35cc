package marigoldward.standin.engine

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * The part of a completion request that an emulated engine uses.
 *
 * @property prompt the prompt; for a chat, the contents of the messages joined with line feeds
 * @property resumeFrom the index of the first token to send; the caller has the tokens before it
 * @property kvHandle the handle of a KV cache exported by a prefill engine, which makes a prefill unnecessary
 */
internal data class CompletionRequest(
    val prompt: String,
    val maxTokens: Int,
    val isStream: Boolean,
    val isChat: Boolean,
    val resumeFrom: Int,
    val kvHandle: String?,
) {
    companion object {
        private const val DEFAULT_MAX_TOKENS = 16

        /**
         * Parses the JSON [body] of a chat or text completion.
         *
         * @throws NoSuchElementException if the prompt or the messages are missing
         * @throws kotlinx.serialization.SerializationException if [body] is not JSON
         */
        fun parse(body: String, isChat: Boolean): CompletionRequest {
            val json = Json.parseToJsonElement(body).jsonObject
            return CompletionRequest(
                prompt = if (isChat) chatPrompt(json) else json.getValue("prompt").jsonPrimitive.content,
                maxTokens = json["max_tokens"]?.jsonPrimitive?.intOrNull ?: DEFAULT_MAX_TOKENS,
                isStream = json["stream"]?.jsonPrimitive?.booleanOrNull ?: false,
                isChat = isChat,
                resumeFrom = json["resume_from"]?.jsonPrimitive?.intOrNull ?: 0,
                kvHandle = json["kv_handle"]?.jsonPrimitive?.contentOrNull,
            )
        }

        private fun chatPrompt(json: JsonObject): String =
            json.getValue("messages").jsonArray.joinToString("\n") { message ->
                (message.jsonObject["content"] as? JsonPrimitive)?.contentOrNull.orEmpty()
            }
    }
}
