package marigoldward.entry.upstream

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import marigoldward.core.Outcome
import marigoldward.core.model.RequestId
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.http.boundedText
import okhttp3.Call
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Sends completion requests to engines. Each call is sent once. */
internal class EngineClient(private val clients: UpstreamClients, private val crashDetector: CrashDetector) {
    /**
     * The request of one attempt.
     *
     * @property path the path of the completion API
     * @property body the request as the caller sent it
     * @property priorityRank the rank of the priority class
     * @property deliveredTokens the number of tokens that the caller already has; the answer resumes after them
     */
    data class Attempt(
        val id: RequestId,
        val path: String,
        val body: JsonObject,
        val priorityRank: Int,
        val deliveredTokens: Long,
        val timeoutMillis: Long,
    )

    /** Has [engine] prefill the prompt without decoding. Returns the handle of the KV cache. */
    fun prefill(engine: UpstreamInfo, attempt: Attempt): Outcome<String, AttemptFailure> {
        val api = if (attempt.path.contains("chat")) "chat" else "text"
        return execute(engine, attempt, "/engine/prefill?api=$api", attempt.body) { _, response ->
            response.use { readKvHandle(it, attempt.id) }
        }
    }

    /**
     * Starts a streamed answer on [engine], which resumes after the tokens that were already delivered.
     *
     * If [kvHandle] is not null, the engine decodes from that KV cache instead of prefilling the prompt itself.
     */
    fun startAnswer(
        engine: UpstreamInfo,
        attempt: Attempt,
        kvHandle: String?,
        onDropped: (String) -> Unit,
    ): Outcome<EngineAnswer, AttemptFailure> {
        val body = answerRequestBody(attempt, kvHandle)
        return execute(engine, attempt, attempt.path, body) { call, response ->
            if (isForOther(response, attempt.id)) onDropped("crossed")
            Outcome.Success(EngineAnswer(call, response, attempt.id, attempt.deliveredTokens, onDropped))
        }
    }

    private fun answerRequestBody(attempt: Attempt, kvHandle: String?): JsonObject {
        val streamed = attempt.body + ("stream" to JsonPrimitive(true))
        val resumed = streamed + ("resume_from" to JsonPrimitive(attempt.deliveredTokens))
        return JsonObject(if (kvHandle == null) resumed else resumed + ("kv_handle" to JsonPrimitive(kvHandle)))
    }

    private fun <T> execute(
        engine: UpstreamInfo,
        attempt: Attempt,
        path: String,
        body: JsonObject,
        readSuccess: (Call, Response) -> Outcome<T, AttemptFailure>,
    ): Outcome<T, AttemptFailure> {
        val transmission = TransmissionListener()
        val request =
            Request
                .Builder()
                .url("http://${engine.address}$path")
                .header("X-Request-Id", attempt.id.text)
                .header("X-Priority", attempt.priorityRank.toString())
                .tag(TransmissionListener::class.java, transmission)
                .post(Json.encodeToString(JsonObject.serializer(), body).toRequestBody(JSON_MEDIA_TYPE))
                .build()
        val call = clients.forCall().newCall(request)
        call.timeout().timeout(maxOf(1, attempt.timeoutMillis), TimeUnit.MILLISECONDS)
        return try {
            readResponse(attempt.id, call, call.execute(), readSuccess)
        } catch (failure: IOException) {
            Outcome.Failure(toAttemptFailure(engine, transmission, failure))
        }
    }

    private fun isForOther(response: Response, id: RequestId): Boolean {
        val answeredId = response.header("X-Request-Id")
        return answeredId != null && answeredId != id.text
    }

    private fun <T> readResponse(
        id: RequestId,
        call: Call,
        response: Response,
        readSuccess: (Call, Response) -> Outcome<T, AttemptFailure>,
    ): Outcome<T, AttemptFailure> {
        if (response.isSuccessful) return readSuccess(call, response)
        return response.use {
            val body = it.boundedText()
            val failure = when {
                isForOther(it, id) -> AttemptFailure.Broken("the answer is for another request", isCrash = false)
                it.header("X-Not-Run") == "true" -> AttemptFailure.NotRun(body.trim(), isUpstreamFault = false)
                it.code >= MIN_SERVER_ERROR_STATUS -> AttemptFailure.Broken("status ${it.code}", isCrash = false)
                else -> AttemptFailure.Rejected(it.code, body)
            }
            Outcome.Failure(failure)
        }
    }

    private fun toAttemptFailure(
        engine: UpstreamInfo,
        transmission: TransmissionListener,
        failure: IOException,
    ): AttemptFailure {
        val reason = failure.message ?: failure.javaClass.simpleName
        if (!transmission.hasStarted) return AttemptFailure.NotRun(reason, isUpstreamFault = true)
        return AttemptFailure.Broken(reason, crashDetector.hasCrashed(engine))
    }

    private fun readKvHandle(response: Response, id: RequestId): Outcome<String, AttemptFailure> {
        val problem = when (val read = EngineMessageJson.read(PrefillMessage.serializer(), response.boundedText())) {
            is Outcome.Failure -> "the answer is not valid: ${read.error}"
            is Outcome.Success -> {
                if (read.value.id == id.text) return Outcome.Success(read.value.kvHandle)
                "the answer is for request ${read.value.id}"
            }
        }
        return Outcome.Failure(AttemptFailure.Broken(problem, isCrash = false))
    }

    private companion object {
        const val MIN_SERVER_ERROR_STATUS = 500
        val JSON_MEDIA_TYPE = "application/json".toMediaType()
    }
}
