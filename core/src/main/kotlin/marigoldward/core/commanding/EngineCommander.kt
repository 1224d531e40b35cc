package marigoldward.core.commanding

import marigoldward.core.control.CommandId
import marigoldward.core.control.CommandIntent
import marigoldward.core.control.CommandOutcome
import marigoldward.core.control.CommandResult
import marigoldward.core.control.EngineCommand
import marigoldward.core.control.EngineRecord
import marigoldward.core.model.FencingToken
import marigoldward.core.model.UpstreamId

/**
 * Determines how to carry out the desired command of an engine, as a pure function of the engine's record and the state
 * that the engine reports.
 *
 * It keeps no state between steps, so that a new lease holder can continue at any step where its predecessor stopped.
 */
public object EngineCommander {
    /** Returns the next step for [engine], to be carried out by the holder of the lease [token]. */
    public fun nextStep(
        engine: UpstreamId,
        record: EngineRecord,
        reported: ReportedEngineState,
        token: FencingToken,
    ): CommandStep {
        val intent = record.openIntent
        return when {
            intent == null && record.desired == null -> CommandStep.Idle
            intent == null -> CommandStep.RecordIntent(commandId(engine, record.version), record.version)
            intent.token != token -> CommandStep.RecordIntent(intent.commandId, intent.version)
            isCarriedOut(intent, reported) -> doneOutcome(intent)
            reported.lastCommandId == intent.commandId.text && !reported.isChanging -> mismatchOutcome(intent, reported)
            reported.isChanging -> CommandStep.Wait("the engine is carrying out a command")
            else -> sendStep(intent, reported)
        }
    }

    /** Returns the step that closes the open command of an engine that is no longer listed, if there is one. */
    public fun stepForRemovedEngine(record: EngineRecord): CommandStep {
        val intent = record.openIntent ?: return CommandStep.Idle
        val outcome = CommandOutcome(intent.commandId, CommandResult.ABANDONED, "the engine is no longer listed")
        return CommandStep.RecordOutcome(outcome, isSetAside = false)
    }

    private fun commandId(engine: UpstreamId, version: Long): CommandId = CommandId.parse("$engine-v$version")

    /** Returns the step that sends the command; all commands but drain and resume need a drained engine first. */
    private fun sendStep(intent: CommandIntent, reported: ReportedEngineState): CommandStep {
        val needsIdleEngine = intent.command != EngineCommand.Drain && intent.command != EngineCommand.Resume
        return when {
            !needsIdleEngine || (reported.isDraining && reported.openRequests == 0) ->
                CommandStep.Send(intent, intent.command)
            !reported.isDraining -> CommandStep.Send(intent, EngineCommand.Drain)
            else -> CommandStep.Wait("the engine still has ${reported.openRequests} open requests")
        }
    }

    private fun isCarriedOut(intent: CommandIntent, reported: ReportedEngineState): Boolean {
        val isLastCommand = reported.lastCommandId == intent.commandId.text && !reported.isChanging
        return when (val command = intent.command) {
            is EngineCommand.ChangeRole -> isLastCommand && reported.role == command.role
            is EngineCommand.LoadModel ->
                isLastCommand && reported.model == command.model && reported.version == command.version
            is EngineCommand.LoadAdapter -> isLastCommand && command.adapter in reported.adapters
            EngineCommand.Drain -> reported.isDraining && reported.openRequests == 0
            EngineCommand.Resume -> isLastCommand && !reported.isDraining
        }
    }

    private fun doneOutcome(intent: CommandIntent): CommandStep =
        CommandStep.RecordOutcome(CommandOutcome(intent.commandId, CommandResult.DONE, ""), isSetAside = false)

    private fun mismatchOutcome(intent: CommandIntent, reported: ReportedEngineState): CommandStep {
        val detail =
            "after the command the engine has role ${reported.role.label}, model ${reported.model} ${reported.version}"
        return CommandStep.RecordOutcome(
            CommandOutcome(intent.commandId, CommandResult.MISMATCH, detail),
            isSetAside = true,
        )
    }
}
