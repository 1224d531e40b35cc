package marigoldward.entry.caller

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import marigoldward.core.Outcome
import marigoldward.support.json.BoundedJson
import marigoldward.support.json.JsonBounds

/**
 * A valid request for a completion.
 *
 * @property prompt the text of the prompt; for a chat, the contents of all messages, one after another
 * @property maxTokens the maximum number of tokens to generate
 * @property body the request as the caller sent it
 */
internal data class CompletionCall(
    val api: CompletionApi,
    val model: String,
    val prompt: String,
    val maxTokens: Long,
    val isStreamed: Boolean,
    val body: JsonObject,
) {
    companion object {
        private const val DEFAULT_MAX_TOKENS = 16L
        private const val BAD_REQUEST = 400
        private const val MAX_BODY_BYTES = 64 * 1_024 * 1_024

        /** Allows for schemas of tools, which nest a few dozen deep. */
        private const val MAX_DEPTH = 128
        private const val MAX_VALUES = 200_000
        private val json = BoundedJson.within(JsonBounds(MAX_BODY_BYTES, MAX_DEPTH, MAX_VALUES))

        /** Parses the JSON [text]; the problem names the field that is not valid. */
        fun parse(api: CompletionApi, text: String, maxOutputTokens: Long): Outcome<CompletionCall, RequestProblem> {
            val body = when (val tree = json.readTree(text)) {
                is Outcome.Failure -> return invalid("body", "the body is not JSON: ${tree.error}")
                is Outcome.Success ->
                    tree.value as? JsonObject ?: return invalid("body", "the body is not a JSON object")
            }
            val model = textOrNull(body["model"]) ?: return invalid("model", "field \"model\" is not a text")
            val prompt = when (api) {
                CompletionApi.CHAT -> chatPromptOrNull(body["messages"])
                    ?: return invalid("messages", "field \"messages\" is not a non-empty list of role and text content")
                CompletionApi.TEXT -> textOrNull(body["prompt"])
                    ?: return invalid("prompt", "field \"prompt\" is not a text")
            }
            val stream = body["stream"]
            val isStreamed = if (stream == null) false else (stream as? JsonPrimitive)?.booleanOrNull
            if (isStreamed == null) {
                return invalid("stream", "field \"stream\" has the value $stream; use true or false")
            }
            val requested = body["max_tokens"] ?: body["max_completion_tokens"]
            val maxTokens = if (requested == null) DEFAULT_MAX_TOKENS else (requested as? JsonPrimitive)?.longOrNull
            if (maxTokens == null || maxTokens !in 1..maxOutputTokens) {
                return invalid("max_tokens", "field \"max_tokens\" has the value $requested; use 1 to $maxOutputTokens")
            }
            return Outcome.Success(CompletionCall(api, model, prompt, maxTokens, isStreamed, body))
        }

        private fun textOrNull(element: JsonElement?): String? =
            (element as? JsonPrimitive)?.takeIf { it.isString }?.content

        private fun chatPromptOrNull(element: JsonElement?): String? {
            val messages = (element as? JsonArray)?.takeIf { it.isNotEmpty() } ?: return null
            val texts = messages.map { message ->
                val fields = message as? JsonObject ?: return null
                textOrNull(fields["role"]) ?: return null
                textOrNull(fields["content"]) ?: return null
            }
            return texts.joinToString("\n")
        }

        private fun invalid(field: String, message: String): Outcome<CompletionCall, RequestProblem> =
            Outcome.Failure(RequestProblem(BAD_REQUEST, field, message))
    }
}
