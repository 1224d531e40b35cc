package marigoldward.bench.client

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import marigoldward.standin.AnswerText
import marigoldward.support.time.MonotonicClock
import okhttp3.ConnectionPool
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.TimeUnit

/** An HTTP client of the entries that checks whether every answer is complete and belongs to its request. */
public class CallerClient private constructor(private val client: OkHttpClient) : AutoCloseable {
    /** Requests a streamed completion from the entry at [address] and reads the answer to its end. */
    public fun complete(address: String, request: CompletionRequest): CompletionResult {
        val startMillis = MonotonicClock.nowMillis()
        val httpRequest =
            Request
                .Builder()
                .url("http://$address/v1/chat/completions")
                .header("X-Caller", request.caller)
                .header("X-Priority-Class", request.className)
                .post(Json.encodeToString(JsonObject.serializer(), bodyOf(request)).toRequestBody(JSON))
                .build()
        return try {
            client.newCall(httpRequest).execute().use { readAnswer(it, request, startMillis) }
        } catch (failure: IOException) {
            failedResult(0, null, startMillis, failure.message ?: failure.javaClass.simpleName)
        }
    }

    /** Sends the booking [bookingId] through the entry at [address], with [idempotencyKey] if there is one. */
    public fun book(address: String, path: String, bookingId: String, idempotencyKey: String?): BookingResult {
        val builder =
            Request
                .Builder()
                .url("http://$address$path")
                .header("X-Caller", "desk")
                .header("X-Priority-Class", "urgent")
                .post(bookingId.toRequestBody("text/plain".toMediaType()))
        if (idempotencyKey != null) builder.header("Idempotency-Key", idempotencyKey)
        return try {
            client.newCall(builder.build()).execute().use { response ->
                BookingResult(response.code, response.header(OUTCOME), response.body?.string().orEmpty().trim())
            }
        } catch (failure: IOException) {
            BookingResult(0, null, failure.message.orEmpty())
        }
    }

    override fun close() {
        client.dispatcher.executorService.shutdownNow()
        client.connectionPool.evictAll()
    }

    private fun bodyOf(request: CompletionRequest): JsonObject = buildJsonObject {
        put("model", request.model)
        put("stream", true)
        put("max_tokens", request.maxTokens)
        putJsonArray("messages") {
            addJsonObject {
                put("role", "user")
                put("content", request.prompt)
            }
        }
    }

    private fun readAnswer(response: Response, request: CompletionRequest, startMillis: Long): CompletionResult {
        val requestId = response.header("X-Request-Id")
        if (!response.isSuccessful) {
            val problem = response.body?.string().orEmpty()
            return failedResult(response.code, response.header(OUTCOME), startMillis, problem)
                .copy(requestId = requestId)
        }
        val reader = AnswerReader(request, requestId.orEmpty())
        val source = checkNotNull(response.body) { "the response has no body" }.source()
        while (true) {
            val line = source.readUtf8Line() ?: break
            if (line.startsWith("data: ")) reader.addEvent(line.removePrefix("data: "), MonotonicClock.nowMillis())
            if (line.startsWith("event: error")) reader.reportProblem("an error event")
        }
        return reader.toResult(response.code, startMillis)
    }

    private fun failedResult(statusCode: Int, outcome: String?, startMillis: Long, problem: String): CompletionResult =
        CompletionResult(
            statusCode = statusCode,
            outcome = outcome,
            requestId = null,
            firstTokenMillis = null,
            gapsMillis = emptyList(),
            totalMillis = MonotonicClock.nowMillis() - startMillis,
            isRight = false,
            problem = problem,
        )

    /** Collects and checks the server-sent events of one answer. */
    private class AnswerReader(private val request: CompletionRequest, private val requestId: String) {
        private val text = StringBuilder()
        private val tokenTimesMillis = ArrayList<Long>()
        private var hasEnded = false
        private var problem: String? = null

        fun addEvent(data: String, nowMillis: Long) {
            if (data == "[DONE]") {
                hasEnded = true
                return
            }
            try {
                val json = Json.parseToJsonElement(data).jsonObject
                val id = (json["id"] as? JsonPrimitive)?.contentOrNull
                if (id != null && id != requestId) reportProblem("an event of request $id")
                val choice = json["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return
                text.append(choice["delta"]?.jsonObject?.get("content")?.jsonPrimitive?.contentOrNull.orEmpty())
                tokenTimesMillis.add(nowMillis)
            } catch (failure: SerializationException) {
                reportProblem("an event is not JSON: ${failure.message}")
            }
        }

        /** Records [reason] unless an earlier problem is recorded. */
        fun reportProblem(reason: String) {
            if (problem == null) problem = reason
        }

        fun toResult(statusCode: Int, startMillis: Long): CompletionResult {
            if (!hasEnded) reportProblem("the answer has no end event")
            if (text.toString() != AnswerText.answer(request.prompt, request.maxTokens)) {
                reportProblem("the text is not the expected answer")
            }
            return CompletionResult(
                statusCode = statusCode,
                outcome = null,
                requestId = requestId,
                firstTokenMillis = tokenTimesMillis.firstOrNull()?.let { it - startMillis },
                gapsMillis = tokenTimesMillis.zipWithNext { earlier, later -> later - earlier },
                totalMillis = MonotonicClock.nowMillis() - startMillis,
                isRight = problem == null,
                problem = problem,
            )
        }
    }

    /** Creates clients. */
    public companion object {
        private const val OUTCOME = "X-Marigoldward-Outcome"
        private const val READ_TIMEOUT_SECONDS = 130L
        private const val MAX_IDLE_CONNECTIONS = 64

        /** Shorter than any restart in a scenario, so that no connection to a previous process is reused. */
        private const val KEEP_ALIVE_SECONDS = 2L
        private val JSON = "application/json".toMediaType()

        /** Returns a client that does not retry requests. */
        public fun create(): CallerClient = CallerClient(
            OkHttpClient
                .Builder()
                .retryOnConnectionFailure(false)
                .connectTimeout(2, TimeUnit.SECONDS)
                .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
                .build(),
        )
    }
}
