package marigoldward.core.control

import marigoldward.core.control.internal.Claims
import marigoldward.core.control.internal.EngineRecords
import marigoldward.core.control.internal.Leases
import marigoldward.core.control.internal.Operations
import marigoldward.core.control.internal.Quarantines
import marigoldward.core.control.internal.RouteDocuments

/** Applies committed commands to the control state: the same commands give the same state everywhere. */
public object ControlMachine {
    /** Returns what [command], committed at log [index], makes of [state]. */
    public fun apply(state: ControlState, index: Long, command: ControlCommand): AppliedCommand = when (command) {
        is ControlCommand.ApplyConfiguration -> Operations.applyConfiguration(state, command)
        is ControlCommand.SetDesired -> Operations.setDesired(state, command)
        is ControlCommand.GrantLease -> Leases.grant(state, index, command)
        is ControlCommand.RecordIntent -> EngineRecords.recordIntent(state, command)
        is ControlCommand.RecordOutcome -> EngineRecords.recordOutcome(state, command)
        is ControlCommand.ClaimKey -> Claims.claim(state, command)
        is ControlCommand.CompleteClaim -> Claims.complete(state, command)
        is ControlCommand.ReleaseClaim -> Claims.release(state, command)
        is ControlCommand.Quarantine -> Quarantines.add(state, command)
        is ControlCommand.StoreRoutes -> RouteDocuments.store(state, command)
        is ControlCommand.ReleaseQuarantine -> Quarantines.remove(state, command)
    }
}
