package marigoldward.core.control.internal

import kotlinx.collections.immutable.PersistentMap
import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.CrashSuspect
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.Suspicion
import marigoldward.core.model.UpstreamId

/**
 * Finds out which requests crash upstreams.
 *
 * Every request that an upstream was answering when it crashed is a suspect. A fingerprint is quarantined once
 * [Suspicion.QUARANTINE_CRASHES] upstreams have crashed under it one after the other, each of them after the crash
 * before it was known to the reporter, and no request with it was answered in between. So upstreams that fail together
 * count once, and a fingerprint that other requests share is cleared by their answers.
 */
internal object CrashEvidence {
    private const val MAX_SUSPECTS = 256

    fun report(state: ControlState, command: ControlCommand.ReportCrash): AppliedCommand {
        val reported = command.suspects.fold(state) { current, suspect -> add(current, command.upstream, suspect) }
        return AppliedCommand(withNewVersion(state, reported), ControlOutcome.Done)
    }

    /** Removes the fingerprints from the suspects and from the quarantine. */
    fun clear(state: ControlState, command: ControlCommand.ClearSuspects): AppliedCommand {
        val cleared = command.fingerprints.fold(state) { current, fingerprint ->
            if (fingerprint !in current.suspects && fingerprint !in current.quarantine) {
                current
            } else {
                current.copy(
                    suspects = current.suspects.remove(fingerprint),
                    quarantine = current.quarantine.remove(fingerprint),
                )
            }
        }
        return AppliedCommand(withNewVersion(state, cleared), ControlOutcome.Done)
    }

    private fun add(state: ControlState, upstream: UpstreamId, suspect: CrashSuspect): ControlState {
        val fingerprint = suspect.fingerprint
        val crashed = state.suspects[fingerprint]?.crashedUpstreams.orEmpty()
        val isConcurrent = suspect.knownCrashes < crashed.size
        if (fingerprint in state.quarantine || isConcurrent || upstream in crashed) return state
        val suspicion = Suspicion(crashed + upstream)
        if (suspicion.crashedUpstreams.size < Suspicion.QUARANTINE_CRASHES) {
            return state.copy(suspects = withoutSurplus(state.suspects.put(fingerprint, suspicion)))
        }
        val reason = "${suspicion.crashedUpstreams.joinToString(", ")} crashed one after the other while answering"
        val quarantine = withoutOldest(state.quarantine.put(fingerprint, reason), Quarantines.MAX_QUARANTINED)
        return state.copy(suspects = state.suspects.remove(fingerprint), quarantine = quarantine)
    }

    /** Removes the oldest of the suspects with the fewest crashes if there are too many. */
    private fun withoutSurplus(suspects: PersistentMap<Fingerprint, Suspicion>): PersistentMap<Fingerprint, Suspicion> {
        if (suspects.size <= MAX_SUSPECTS) return suspects
        return suspects.remove(suspects.entries.minBy { it.value.crashedUpstreams.size }.key)
    }

    private fun withNewVersion(before: ControlState, after: ControlState): ControlState =
        if (after === before) before else after.copy(quarantineVersion = before.quarantineVersion + 1)
}
