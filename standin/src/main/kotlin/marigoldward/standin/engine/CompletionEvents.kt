package marigoldward.standin.engine

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** The server-sent events of a streamed completion in the format of the OpenAI API. */
internal object CompletionEvents {
    /** The event that ends a stream. */
    const val DONE: String = "data: [DONE]\n\n"

    /** Returns the event for the token [text] at [index] of the answer. */
    fun token(requestId: String, isChat: Boolean, index: Int, text: String, isLast: Boolean): String {
        val json =
            buildJsonObject {
                put("id", requestId)
                put("object", if (isChat) "chat.completion.chunk" else "text_completion")
                put("token_index", index)
                putJsonArray("choices") {
                    addJsonObject { choice(isChat, text, isLast).forEach { put(it.key, it.value) } }
                }
            }
        return "data: ${Json.encodeToString(JsonObject.serializer(), json)}\n\n"
    }

    private fun choice(isChat: Boolean, text: String, isLast: Boolean): JsonObject = buildJsonObject {
        put("index", 0)
        if (isChat) putJsonObject("delta") { put("content", text) } else put("text", text)
        put("finish_reason", if (isLast) "length" else null)
    }
}
