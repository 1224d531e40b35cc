package marigoldward.core.control

import marigoldward.core.control.internal.CrashEvidence
import marigoldward.core.control.internal.EngineRecords
import marigoldward.core.control.internal.IdempotencyClaims
import marigoldward.core.control.internal.LeaseGrants
import marigoldward.core.control.internal.OperatorChanges
import marigoldward.core.control.internal.Quarantines
import marigoldward.core.control.internal.RouteDocuments
import marigoldward.core.control.internal.UsageRecords

/** The replicated state machine. It is deterministic: the same commands give the same state on every replica. */
public object ControlStateMachine {
    /** Applies [command], committed at log [index], to [state] and returns the new state and the outcome. */
    public fun apply(state: ControlState, index: Long, command: ControlCommand): AppliedCommand = when (command) {
        is ControlCommand.ApplyConfiguration -> OperatorChanges.applyConfiguration(state, command)
        is ControlCommand.SetDesired -> OperatorChanges.setDesired(state, command)
        is ControlCommand.GrantLease -> LeaseGrants.grant(state, index, command)
        is ControlCommand.RecordIntent -> EngineRecords.recordIntent(state, command)
        is ControlCommand.RecordOutcome -> EngineRecords.recordOutcome(state, command)
        is ControlCommand.ClaimKey -> IdempotencyClaims.claim(state, command)
        is ControlCommand.CompleteClaim -> IdempotencyClaims.complete(state, command)
        is ControlCommand.ReleaseClaim -> IdempotencyClaims.release(state, command)
        is ControlCommand.Quarantine -> Quarantines.add(state, command)
        is ControlCommand.StoreRoutes -> RouteDocuments.store(state, command)
        is ControlCommand.ReleaseQuarantine -> Quarantines.remove(state, command)
        is ControlCommand.ReportCrash -> CrashEvidence.report(state, command)
        is ControlCommand.ClearSuspects -> CrashEvidence.clear(state, command)
        is ControlCommand.RetryQuarantined -> CrashEvidence.retry(state, command)
        is ControlCommand.RecordUsage -> UsageRecords.record(state, command)
        is ControlCommand.MarkUsageReported -> UsageRecords.markReported(state, command)
    }
}
