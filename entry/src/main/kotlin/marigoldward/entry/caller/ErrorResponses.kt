package marigoldward.entry.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import marigoldward.core.model.RequestId
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.ServingAction
import org.http4k.core.Response
import org.http4k.core.Status

/**
 * The responses to requests that no upstream answered.
 *
 * The outcome, in a header and in the body, is `invalid`, `not_run` if no upstream ran any part of the request, or
 * `unknown` if one may have.
 */
internal object ErrorResponses {
    const val OUTCOME_HEADER: String = "X-Marigoldward-Outcome"
    const val REQUEST_ID_HEADER: String = "X-Request-Id"
    private const val OUTCOME_NOT_RUN = "not_run"
    private const val OUTCOME_UNKNOWN = "unknown"
    private const val MILLIS_PER_SECOND = 1_000L

    /** Returns the response to a request that is not valid. */
    fun invalid(problem: RequestProblem): Response {
        EntryMetrics.countInvalidRequest()
        return response(problem.statusCode, "invalid", problem.message, problem.field, null)
    }

    /** Returns the response to a request that was refused or whose attempts failed. */
    fun refused(refuse: ServingAction.Refuse): Response {
        val response = response(statusOf(refuse), outcomeOf(refuse), messageOf(refuse.refusal), null, refuse.id)
        val retryAfterMillis = refuse.refusal.retryAfterMillis ?: return response
        val seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
        return response.header("Retry-After", maxOf(1, seconds).toString())
    }

    /** Returns the response to a request that was not run, for [reason]. */
    fun notRun(statusCode: Int, reason: String, message: String, id: RequestId?): Response =
        response(statusCode, OUTCOME_NOT_RUN, message, reason, id).header("Retry-After", "1")

    /** Returns the response to a request that may have run, for [reason]. */
    fun unknown(statusCode: Int, reason: String, message: String, id: RequestId?): Response =
        response(statusCode, OUTCOME_UNKNOWN, message, reason, id)

    /** Returns the server-sent event that ends an incomplete stream. */
    fun streamErrorEvent(refuse: ServingAction.Refuse): String {
        val error = errorJson(outcomeOf(refuse), messageOf(refuse.refusal), refuse.refusal.label)
        return "event: error\ndata: ${Json.encodeToString(JsonObject.serializer(), error)}\n\n"
    }

    private fun statusOf(refuse: ServingAction.Refuse): Int = when (refuse.refusal) {
        is Refusal.QueueFull, is Refusal.CallerOverShare, is Refusal.TooLate -> if (refuse.mayHaveRun) 504 else 429
        is Refusal.Expired -> if (refuse.mayHaveRun) 504 else 503
        is Refusal.NoUpstream, is Refusal.RetryBudgetSpent, Refusal.ShuttingDown -> if (refuse.mayHaveRun) 502 else 503
        Refusal.Quarantined -> if (refuse.mayHaveRun) 502 else 422
        is Refusal.TooLarge -> 413
        Refusal.UpstreamFailed -> if (refuse.mayHaveRun) 502 else 503
    }

    private fun outcomeOf(refuse: ServingAction.Refuse): String =
        if (refuse.mayHaveRun) OUTCOME_UNKNOWN else OUTCOME_NOT_RUN

    private fun messageOf(refusal: Refusal): String = when (refusal) {
        is Refusal.QueueFull -> "the queue of this class is full"
        is Refusal.CallerOverShare -> "this caller has its share of the queue already"
        is Refusal.TooLate -> "the request would not be served in time"
        is Refusal.Expired -> "the request waited as long as its class may wait"
        is Refusal.NoUpstream -> "no upstream takes work"
        is Refusal.RetryBudgetSpent -> "too much has failed lately for another attempt"
        Refusal.Quarantined -> "the request crashed the upstreams that ran it and is refused from now on"
        is Refusal.TooLarge ->
            "the request needs the KV cache of ${refusal.kvTokens} tokens; an engine has ${refusal.capacityTokens}"
        Refusal.ShuttingDown -> "this instance is ending"
        Refusal.UpstreamFailed -> "the upstream failed"
    }

    private fun response(statusCode: Int, outcome: String, message: String, detail: String?, id: RequestId?): Response {
        val json = errorJson(outcome, message, detail)
        val response =
            Response(Status(statusCode, ""))
                .header("Content-Type", "application/json")
                .header(OUTCOME_HEADER, outcome)
                .body(Json.encodeToString(JsonObject.serializer(), json))
        return if (id == null) response else response.header(REQUEST_ID_HEADER, id.text)
    }

    private fun errorJson(outcome: String, message: String, detail: String?): JsonObject = buildJsonObject {
        putJsonObject("error") {
            put("outcome", outcome)
            put("message", message)
            put("detail", detail)
        }
    }
}
