package marigoldward.controller.upstream

import kotlinx.serialization.json.Json
import marigoldward.core.commanding.ReportedEngineState
import marigoldward.core.control.CommandIntent
import marigoldward.core.control.EngineCommand
import marigoldward.core.getOrNull
import marigoldward.core.model.EngineRole
import marigoldward.support.http.boundedText
import marigoldward.support.json.BoundedJson
import marigoldward.support.json.JsonBounds
import marigoldward.support.net.OutgoingSocket
import okhttp3.ConnectionPool
import okhttp3.Interceptor
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * Reads the state of engines and sends them commands.
 *
 * Each command uses a new connection and times out after [COMMAND_TIMEOUT_MILLIS]. [maySend] is called again once the
 * connection is established, right before the first byte is written, since the lease may have expired meanwhile.
 */
internal class EngineControlClient(private val maySend: () -> Boolean) : AutoCloseable {
    /** The result of sending a command. */
    enum class SendResult {
        /** The engine accepted the command. */
        TAKEN,

        /** The engine has seen a newer fencing token. */
        STALE_TOKEN,

        /** The engine can't carry out the command now. */
        BUSY,

        /** There was no valid answer. The engine's state shows whether it accepted the command. */
        UNKNOWN,
    }

    private val stateClient: OkHttpClient =
        OkHttpClient
            .Builder()
            .socketFactory(OutgoingSocket.Factory)
            .retryOnConnectionFailure(false)
            .callTimeout(COMMAND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .build()
    private val commandClient: OkHttpClient =
        stateClient
            .newBuilder()
            .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .addNetworkInterceptor(
                Interceptor { chain ->
                    if (!maySend()) throw IOException("the lease has expired")
                    chain.proceed(chain.request())
                },
            ).build()

    /** Returns the state of the engine at [address], or null if it gives no valid answer. */
    fun stateOrNull(address: String): ReportedEngineState? = try {
        val request = Request.Builder().url("http://$address/engine/state").build()
        stateClient.newCall(request).execute().use { response ->
            val text = response.boundedText()
            answerJson.read(EngineStateMessage.serializer(), text).getOrNull()?.let(::toReportedState)
        }
    } catch (_: IOException) {
        null
    }

    /** Sends [command], with the id and the fencing token of [intent], to the engine at [address]. */
    fun send(address: String, intent: CommandIntent, command: EngineCommand): SendResult = try {
        val body = json.encodeToString(EngineCommandMessage.serializer(), toMessage(intent, command))
        val request =
            Request.Builder().url("http://$address/engine/commands").post(body.toRequestBody(JSON_MEDIA_TYPE)).build()
        commandClient.newCall(request).execute().use { response ->
            val text = response.boundedText()
            val answer = answerJson.read(EngineCommandAnswer.serializer(), text).getOrNull()
            if (answer == null) SendResult.UNKNOWN else toSendResult(answer)
        }
    } catch (_: IOException) {
        SendResult.UNKNOWN
    }

    override fun close() {
        stateClient.dispatcher.executorService.shutdownNow()
        stateClient.connectionPool.evictAll()
    }

    private fun toSendResult(answer: EngineCommandAnswer): SendResult = when (answer.result) {
        "done", "changing" -> SendResult.TAKEN
        "stale_token" -> SendResult.STALE_TOKEN
        "busy" -> SendResult.BUSY
        else -> SendResult.UNKNOWN
    }

    private fun toReportedState(message: EngineStateMessage): ReportedEngineState = ReportedEngineState(
        role = EngineRole.parseOrNull(message.role) ?: EngineRole.MIXED,
        model = message.model,
        version = message.version,
        adapters = message.adapters,
        isDraining = message.isDraining,
        isChanging = message.isChanging,
        openRequests = message.openRequests,
        lastCommandId = message.lastCommandId,
    )

    private fun toMessage(intent: CommandIntent, command: EngineCommand): EngineCommandMessage {
        val id = intent.commandId.text
        val token = intent.token.number
        return when (command) {
            is EngineCommand.ChangeRole -> EngineCommandMessage(id, token, "change-role", role = command.role.label)
            is EngineCommand.LoadModel ->
                EngineCommandMessage(id, token, "load-model", model = command.model, version = command.version)
            is EngineCommand.LoadAdapter -> EngineCommandMessage(id, token, "load-adapter", adapter = command.adapter)
            EngineCommand.Drain -> EngineCommandMessage("$id-drain", token, "drain")
            EngineCommand.Resume -> EngineCommandMessage(id, token, "resume")
        }
    }

    companion object {
        /** How long a call to an engine may take. */
        const val COMMAND_TIMEOUT_MILLIS: Long = 1_000
        private val JSON_MEDIA_TYPE = "application/json".toMediaType()
        private val json = Json { encodeDefaults = false }
        private val answerJson =
            BoundedJson.within(JsonBounds(maxBytes = 1_024 * 1_024, maxDepth = 16, maxValues = 100_000))
    }
}
