package marigoldward.entry.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import marigoldward.core.model.RequestId
import marigoldward.core.serving.RequestSpec
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status

/** Turns the parts of a completion into the response to the caller, either streamed or complete. */
internal class CompletionResponder(private val call: CompletionCall, private val spec: RequestSpec) {
    /**
     * Waits for the first part of the answer from [session] and returns the response.
     *
     * [session] is closed before this returns, or, for a streamed answer, with the body of the response.
     */
    fun respond(session: CompletionSession): Response = when (val first = session.next()) {
        is CompletionSession.Part.Refused -> {
            session.close()
            ErrorResponses.refused(first.refuse)
        }
        is CompletionSession.Part.Rejected -> {
            session.close()
            Response(Status(first.statusCode, ""))
                .header(ErrorResponses.REQUEST_ID_HEADER, spec.id.text)
                .body(first.body)
        }
        is CompletionSession.Part.Token, CompletionSession.Part.End ->
            if (call.isStreamed) streamedResponse(session, first) else completeResponse(session, first)
    }

    private fun streamedResponse(session: CompletionSession, first: CompletionSession.Part): Response {
        val eventFormat = CompletionEventFormat(call.api, spec.id, call.model)
        return Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header("Cache-Control", "no-store")
            .header(ErrorResponses.REQUEST_ID_HEADER, spec.id.text)
            .body(Body(CompletionStreamBody(session, first, eventFormat)))
    }

    private fun completeResponse(session: CompletionSession, first: CompletionSession.Part): Response {
        val text = StringBuilder()
        var part = first
        var finishReason: String? = null
        var tokens = 0L
        session.use {
            while (true) {
                when (val current = part) {
                    is CompletionSession.Part.Token -> {
                        text.append(current.text)
                        tokens++
                        finishReason = current.finishReason
                    }
                    CompletionSession.Part.End -> break
                    is CompletionSession.Part.Refused -> return ErrorResponses.refused(current.refuse)
                    is CompletionSession.Part.Rejected ->
                        return Response(Status(current.statusCode, "")).body(current.body)
                }
                part = session.next()
            }
        }
        val json = completionJson(spec.id, text.toString(), finishReason, tokens)
        return Response(Status.OK)
            .header("Content-Type", "application/json")
            .header(ErrorResponses.REQUEST_ID_HEADER, spec.id.text)
            .body(Json.encodeToString(JsonObject.serializer(), json))
    }

    private fun completionJson(id: RequestId, text: String, finishReason: String?, tokens: Long): JsonObject =
        buildJsonObject {
            put("id", id.text)
            put("object", if (call.api == CompletionApi.CHAT) "chat.completion" else "text_completion")
            put("model", call.model)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    if (call.api == CompletionApi.CHAT) {
                        putJsonObject("message") {
                            put("role", "assistant")
                            put("content", text)
                        }
                    } else {
                        put("text", text)
                    }
                    put("finish_reason", finishReason)
                }
            }
            putJsonObject("usage") {
                put("prompt_tokens", spec.promptTokens)
                put("completion_tokens", tokens)
                put("total_tokens", spec.promptTokens + tokens)
            }
        }
}
