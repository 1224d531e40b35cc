package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.CommandIntent
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.EngineRecord
import marigoldward.core.control.LeaseScope
import marigoldward.core.model.FencingToken

/** Intents and outcomes of commands to engines. Each engine has at most one open intent. */
internal object EngineRecords {
    fun recordIntent(state: ControlState, command: ControlCommand.RecordIntent): AppliedCommand {
        val stale = staleTokenOrNull(state, command.scope, command.token)
        if (stale != null) return AppliedCommand(state, stale)
        val record = state.engines[command.engine] ?: EngineRecord()
        val openIntent = record.openIntent
        if (openIntent != null) return takeOverIntent(state, command, record, openIntent)
        val desired = record.desired
        if (desired == null || record.version != command.version) {
            val detail = "engine \"${command.engine}\" is at version ${record.version}, not ${command.version}"
            return AppliedCommand(state, ControlOutcome.Rejected(detail))
        }
        val intent = CommandIntent(command.commandId, desired, record.version, command.token)
        return withIntent(state, command, record, intent)
    }

    fun recordOutcome(state: ControlState, command: ControlCommand.RecordOutcome): AppliedCommand {
        val stale = staleTokenOrNull(state, command.scope, command.token)
        if (stale != null) return AppliedCommand(state, stale)
        val record = state.engines[command.engine] ?: EngineRecord()
        val openIntent = record.openIntent
        if (openIntent == null || openIntent.commandId != command.outcome.commandId) {
            val detail = "engine \"${command.engine}\" has no open command \"${command.outcome.commandId}\""
            return AppliedCommand(state, ControlOutcome.Rejected(detail))
        }
        val isNewest = record.version == openIntent.version
        val closed =
            record.copy(
                desired = if (isNewest) null else record.desired,
                openIntent = null,
                lastOutcome = command.outcome,
                isSetAside = command.isSetAside,
            )
        val engines = state.engines.put(command.engine, closed)
        return AppliedCommand(state.copy(engines = engines), ControlOutcome.Done)
    }

    /** The next holder of the lease takes over an open command: it keeps the command's id but uses its own token. */
    private fun takeOverIntent(
        state: ControlState,
        command: ControlCommand.RecordIntent,
        record: EngineRecord,
        openIntent: CommandIntent,
    ): AppliedCommand {
        if (openIntent.commandId != command.commandId) {
            return AppliedCommand(state, ControlOutcome.IntentOpen(openIntent))
        }
        return withIntent(state, command, record, openIntent.copy(token = command.token))
    }

    private fun withIntent(
        state: ControlState,
        command: ControlCommand.RecordIntent,
        record: EngineRecord,
        intent: CommandIntent,
    ): AppliedCommand {
        val engines = state.engines.put(command.engine, record.copy(openIntent = intent))
        return AppliedCommand(state.copy(engines = engines), ControlOutcome.IntentRecorded(intent))
    }

    private fun staleTokenOrNull(state: ControlState, scope: LeaseScope, token: FencingToken): ControlOutcome? {
        val current = state.leases[scope]?.token ?: FencingToken.NONE
        return if (current == token) null else ControlOutcome.StaleToken(current)
    }
}
