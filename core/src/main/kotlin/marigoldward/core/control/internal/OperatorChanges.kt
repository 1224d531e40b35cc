package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.EngineRecord
import marigoldward.core.control.OperationId
import marigoldward.core.internal.withoutOldest
import marigoldward.core.model.Revision

/** Changes by operators. A change that is sent again is not applied again and gets its first outcome. */
internal object OperatorChanges {
    private const val MAX_OPERATIONS = 10_000

    fun applyConfiguration(state: ControlState, command: ControlCommand.ApplyConfiguration): AppliedCommand {
        val previous = state.operations[command.operationId]
        if (previous != null) return AppliedCommand(state, previous)
        if (command.expectedRevision != state.revision) {
            val conflict = ControlOutcome.RevisionConflict(state.revision, state.revisionOperation)
            return withOutcome(state, command.operationId, conflict)
        }
        val revision = Revision.fromNumber(state.revision.number + 1)
        val applied =
            state.copy(
                revision = revision,
                revisionOperation = command.operationId,
                bundle = command.bundle,
            )
        return withOutcome(applied, command.operationId, ControlOutcome.ConfigurationApplied(revision))
    }

    fun setDesired(state: ControlState, command: ControlCommand.SetDesired): AppliedCommand {
        val previous = state.operations[command.operationId]
        if (previous != null) return AppliedCommand(state, previous)
        val record = state.engines[command.engine] ?: EngineRecord()
        if (record.version != command.expectedVersion) {
            return withOutcome(state, command.operationId, ControlOutcome.VersionConflict(record.version))
        }
        val changed = record.copy(version = record.version + 1, desired = command.command)
        val engines = state.engines.put(command.engine, changed)
        val outcome = ControlOutcome.DesiredSet(changed.version)
        return withOutcome(state.copy(engines = engines), command.operationId, outcome)
    }

    private fun withOutcome(state: ControlState, operationId: OperationId, outcome: ControlOutcome): AppliedCommand {
        val operations = state.operations.put(operationId, outcome)
        return AppliedCommand(state.copy(operations = withoutOldest(operations, MAX_OPERATIONS)), outcome)
    }
}
