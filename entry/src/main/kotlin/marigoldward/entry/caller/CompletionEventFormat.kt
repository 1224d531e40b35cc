package marigoldward.entry.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import marigoldward.core.model.RequestId

/** Formats the server-sent events of a streamed completion as the OpenAI-compatible API defines them. */
internal class CompletionEventFormat(
    private val api: CompletionApi,
    private val id: RequestId,
    private val model: String,
) {
    /** Returns the event for [token]. */
    fun tokenEvent(token: CompletionSession.Part.Token): String {
        val json =
            buildJsonObject {
                put("id", id.text)
                put("object", if (api == CompletionApi.CHAT) "chat.completion.chunk" else "text_completion")
                put("model", model)
                putJsonArray("choices") {
                    addJsonObject {
                        put("index", 0)
                        if (api == CompletionApi.CHAT) {
                            putJsonObject("delta") { put("content", token.text) }
                        } else {
                            put("text", token.text)
                        }
                        put("finish_reason", token.finishReason)
                    }
                }
            }
        return "data: ${Json.encodeToString(JsonObject.serializer(), json)}\n\n"
    }

    /** Returns the event that ends a complete answer. */
    fun endEvent(): String = "data: [DONE]\n\n"
}
