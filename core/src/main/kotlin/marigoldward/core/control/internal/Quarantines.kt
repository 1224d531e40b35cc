package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.internal.withoutOldest

/** Quarantined fingerprints of requests that crash the upstreams that run them. */
internal object Quarantines {
    const val MAX_QUARANTINED = 10_000

    fun add(state: ControlState, command: ControlCommand.Quarantine): AppliedCommand {
        if (command.fingerprint in state.quarantine) return AppliedCommand(state, ControlOutcome.Done)
        val quarantine = withoutOldest(state.quarantine.put(command.fingerprint, command.reason), MAX_QUARANTINED)
        val version = state.quarantineVersion + 1
        return AppliedCommand(state.copy(quarantine = quarantine, quarantineVersion = version), ControlOutcome.Done)
    }

    fun remove(state: ControlState, command: ControlCommand.ReleaseQuarantine): AppliedCommand {
        if (command.fingerprint !in state.quarantine) {
            return AppliedCommand(state, ControlOutcome.Rejected("\"${command.fingerprint}\" is not quarantined"))
        }
        val released =
            state.copy(
                quarantine = state.quarantine.remove(command.fingerprint),
                quarantineVersion = state.quarantineVersion + 1,
                suspects = state.suspects.remove(command.fingerprint),
            )
        return AppliedCommand(released, ControlOutcome.Done)
    }
}
