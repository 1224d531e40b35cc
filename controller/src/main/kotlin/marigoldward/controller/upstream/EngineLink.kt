package marigoldward.controller.upstream

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import marigoldward.core.commanding.ReportedEngineState
import marigoldward.core.control.CommandIntent
import marigoldward.core.control.EngineCommand
import marigoldward.core.model.EngineRole
import okhttp3.ConnectionPool
import okhttp3.Interceptor
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * Reads engines' states and sends them commands.
 *
 * Each command goes over a connection of its own and is ended by a deadline. [mayAct] is asked once more when the
 * connection stands, right before the first byte is written.
 */
internal class EngineLink(private val mayAct: () -> Boolean) : AutoCloseable {
    /** What became of a command. */
    enum class Sent {
        /** The engine took it. */
        TAKEN,

        /** The engine has seen a newer token. */
        STALE_TOKEN,

        /** The engine can't carry it out now. */
        BUSY,

        /** No answer came; whether it was taken shows in the engine's state. */
        UNKNOWN,
    }

    private val reading: OkHttpClient =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(COMMAND_MILLIS, TimeUnit.MILLISECONDS)
            .build()
    private val commanding: OkHttpClient =
        reading
            .newBuilder()
            .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .addNetworkInterceptor(
                Interceptor { chain ->
                    if (!mayAct()) throw IOException("the lease has run out")
                    chain.proceed(chain.request())
                },
            ).build()

    /** Asks the engine at [address] for its state; null if it does not answer. */
    fun viewOrNull(address: String): ReportedEngineState? = try {
        val request = Request.Builder().url("http://$address/engine/state").build()
        reading.newCall(request).execute().use { response ->
            val text = response.body?.string().orEmpty()
            toView(json.decodeFromString(EngineStateMessage.serializer(), text))
        }
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    /** Sends [command] of [intent] to the engine at [address]. */
    fun send(address: String, intent: CommandIntent, command: EngineCommand): Sent = try {
        val body = json.encodeToString(EngineCommandMessage.serializer(), toMessage(intent, command))
        val request = Request.Builder().url(
            "http://$address/engine/commands",
        ).post(body.toRequestBody(JSON)).build()
        commanding.newCall(request).execute().use { response ->
            val text = response.body?.string().orEmpty()
            toSent(json.decodeFromString(EngineCommandAnswer.serializer(), text))
        }
    } catch (_: IOException) {
        Sent.UNKNOWN
    } catch (_: SerializationException) {
        Sent.UNKNOWN
    }

    override fun close() {
        reading.dispatcher.executorService.shutdownNow()
        reading.connectionPool.evictAll()
    }

    private fun toSent(answer: EngineCommandAnswer): Sent = when (answer.result) {
        "done", "changing" -> Sent.TAKEN
        "stale_token" -> Sent.STALE_TOKEN
        "busy" -> Sent.BUSY
        else -> Sent.UNKNOWN
    }

    private fun toView(message: EngineStateMessage): ReportedEngineState = ReportedEngineState(
        role = EngineRole.parseOrNull(message.role) ?: EngineRole.MIXED,
        model = message.model,
        version = message.version,
        adapters = message.adapters,
        isDraining = message.isDraining,
        isChanging = message.isChanging,
        openRequests = message.streams,
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
        /** The longest time that a command is on its way, in milliseconds. */
        const val COMMAND_MILLIS: Long = 1_000
        private val JSON = "application/json".toMediaType()
        private val json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }
    }
}
