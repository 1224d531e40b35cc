package marigoldward.standin.engine

import marigoldward.core.model.EngineRole
import marigoldward.standin.ObservedWork
import java.util.UUID

/** The role, model and adapters of an emulated engine, and the execution of the commands that change them. */
internal class EngineControl(
    private val settings: EngineSettings,
    private val scheduler: EngineScheduler,
    private val observed: ObservedWork,
) {
    private var role = settings.role
    private var loadedModel = settings.pool.text
    private var version = "1"
    private var adapters = emptyList<String>()
    private var isDraining = false
    private var changeEndMillis = 0L
    private var lastCommandId: String? = null
    private var highestFencingToken = 0L
    private var incarnation = UUID.randomUUID().toString()

    val currentRole: EngineRole @Synchronized get() = role

    /** Whether the engine accepts new requests: it is neither draining nor executing a command. */
    @Synchronized
    fun isAccepting(nowMillis: Long): Boolean = !isDraining && nowMillis >= changeEndMillis

    @Synchronized
    fun state(nowMillis: Long): EngineStateReply = EngineStateReply(
        role = role.label,
        model = loadedModel,
        version = version,
        adapters = adapters,
        isDraining = isDraining,
        isChanging = nowMillis < changeEndMillis,
        streams = scheduler.runningCount + scheduler.waitingCount,
        lastCommandId = lastCommandId,
        highestToken = highestFencingToken,
        incarnation = incarnation,
    )

    /**
     * Executes [command], or refuses it if its token is stale, the engine is busy or the command is not known.
     *
     * Drain and resume take effect at once, the others after a delay. Repeating the last command has no further effect.
     */
    @Synchronized
    fun execute(command: EngineCommandRequest, nowMillis: Long): EngineCommandReply {
        if (settings.checksFencingToken && command.token < highestFencingToken) {
            return EngineCommandReply("stale_token", "highest token is $highestFencingToken")
        }
        highestFencingToken = maxOf(highestFencingToken, command.token)
        if (command.commandId == lastCommandId) return replyToRepeated(nowMillis)
        if (nowMillis < changeEndMillis) {
            observed.recordConflict(settings.id.text, command.commandId)
            return EngineCommandReply("busy", "command $lastCommandId is under way")
        }
        return when (command.kind) {
            "drain" -> {
                isDraining = true
                EngineCommandReply("done", "draining")
            }
            "resume" -> {
                isDraining = false
                completeAtOnce(command, "resumed")
            }
            else -> startChange(command, nowMillis)
        }
    }

    /** Ends draining and any change, and takes a new incarnation. The role, model, adapters and tokens stay. */
    @Synchronized
    fun restart() {
        incarnation = UUID.randomUUID().toString()
        isDraining = false
        changeEndMillis = 0
    }

    @Synchronized
    fun incarnation(): String = incarnation

    private fun startChange(command: EngineCommandRequest, nowMillis: Long): EngineCommandReply {
        if (!scheduler.isIdle()) return EngineCommandReply("busy", "${scheduler.runningCount} requests run")
        when (command.kind) {
            "change-role" -> role = EngineRole.parseOrNull(command.role.orEmpty()) ?: return rejectUnknown(command)
            "load-model" -> {
                loadedModel = command.model ?: return rejectUnknown(command)
                version = command.version ?: return rejectUnknown(command)
            }
            "load-adapter" -> adapters = adapters + (command.adapter ?: return rejectUnknown(command))
            else -> return rejectUnknown(command)
        }
        changeEndMillis = nowMillis + settings.roleChangeMillis
        isDraining = false
        observed.recordCommand(settings.id.text, command.commandId, command.token)
        lastCommandId = command.commandId
        return EngineCommandReply("changing", "done in ${settings.roleChangeMillis} ms")
    }

    private fun completeAtOnce(command: EngineCommandRequest, detail: String): EngineCommandReply {
        lastCommandId = command.commandId
        return EngineCommandReply("done", detail)
    }

    private fun replyToRepeated(nowMillis: Long): EngineCommandReply = if (nowMillis < changeEndMillis) {
        EngineCommandReply("changing", "under way")
    } else {
        EngineCommandReply("done", "carried out before")
    }

    private fun rejectUnknown(command: EngineCommandRequest): EngineCommandReply =
        EngineCommandReply("unknown", "command \"${command.kind}\" lacks a field or is not known")
}
