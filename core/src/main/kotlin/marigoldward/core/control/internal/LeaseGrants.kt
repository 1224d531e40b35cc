package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.LeaseRecord
import marigoldward.core.model.FencingToken

/** Grants of leases. The log index of the grant is its fencing token, so tokens increase with each grant. */
internal object LeaseGrants {
    fun grant(state: ControlState, index: Long, command: ControlCommand.GrantLease): AppliedCommand {
        val current = state.leases[command.scope]
        if (current != null && current.token != command.expectedToken) {
            return AppliedCommand(state, ControlOutcome.LeaseHeld(current.holder, current.token))
        }
        val token = FencingToken.fromNumber(index)
        val leases = state.leases.put(command.scope, LeaseRecord(command.holder, token))
        return AppliedCommand(state.copy(leases = leases), ControlOutcome.LeaseGranted(token))
    }
}
