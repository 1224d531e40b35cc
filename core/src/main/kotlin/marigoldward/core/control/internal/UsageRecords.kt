package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.RecordedUsage

/** Usage windows. Each is recorded once, so that every report of it has the same counts. */
internal object UsageRecords {
    /** A window of five seconds for an hour. */
    const val MAX_UNREPORTED = 720

    /** The counts of all unreported windows together; bounds the snapshot while the provider is unavailable. */
    const val MAX_UNREPORTED_COUNTS = 200_000

    fun record(state: ControlState, command: ControlCommand.RecordUsage): AppliedCommand {
        val last = state.usage.lastWindow
        if (last != null && command.window <= last) {
            return AppliedCommand(state, ControlOutcome.Rejected("usage window $last is recorded already"))
        }
        val unreported = state.usage.unreported.put(command.window, RecordedUsage.WindowCounts(command.counts))
        val newest = unreported.entries.sortedByDescending { it.key }
        var countsKept = 0
        // The newest window is kept whatever its size.
        val surplus = newest.filterIndexed { index, entry ->
            countsKept += entry.value.counts.size
            index > 0 && (index >= MAX_UNREPORTED || countsKept > MAX_UNREPORTED_COUNTS)
        }
        val kept = surplus.fold(unreported) { windows, entry -> windows.remove(entry.key) }
        val usage = state.usage.copy(lastWindow = command.window, unreported = kept)
        return AppliedCommand(state.copy(usage = usage), ControlOutcome.Done)
    }

    fun markReported(state: ControlState, command: ControlCommand.MarkUsageReported): AppliedCommand {
        if (command.window !in state.usage.unreported) return AppliedCommand(state, ControlOutcome.Done)
        val usage = state.usage.copy(unreported = state.usage.unreported.remove(command.window))
        return AppliedCommand(state.copy(usage = usage), ControlOutcome.Done)
    }
}
