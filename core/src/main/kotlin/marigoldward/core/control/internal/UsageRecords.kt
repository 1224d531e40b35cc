package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState

/** Usage windows. Each is recorded once, so that every report of it has the same counts. */
internal object UsageRecords {
    /** A window of five seconds for an hour. */
    const val MAX_UNREPORTED = 720

    fun record(state: ControlState, command: ControlCommand.RecordUsage): AppliedCommand {
        val last = state.usage.lastWindow
        if (last != null && command.window <= last) {
            return AppliedCommand(state, ControlOutcome.Rejected("usage window $last is recorded already"))
        }
        val unreported = state.usage.unreported.put(command.window, command.counts)
        val surplus = unreported.keys.take(maxOf(0, unreported.size - MAX_UNREPORTED))
        val kept = surplus.fold(unreported) { windows, number -> windows.remove(number) }
        val usage = state.usage.copy(lastWindow = command.window, unreported = kept)
        return AppliedCommand(state.copy(usage = usage), ControlOutcome.Done)
    }

    fun markReported(state: ControlState, command: ControlCommand.MarkUsageReported): AppliedCommand {
        if (command.window !in state.usage.unreported) return AppliedCommand(state, ControlOutcome.Done)
        val usage = state.usage.copy(unreported = state.usage.unreported.remove(command.window))
        return AppliedCommand(state.copy(usage = usage), ControlOutcome.Done)
    }
}
