package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.LostRequest
import marigoldward.core.control.Suspicion
import marigoldward.core.internal.withoutOldest
import marigoldward.core.model.UpstreamId

/**
 * Finds out which requests crash upstreams.
 *
 * Every request that an upstream was answering when it crashed is a suspect. Crashes under a fingerprint count if they
 * come one after the other, each of them after the crash before it was known to the reporter, and no request with the
 * fingerprint was answered in between. So upstreams that fail together count once. An upstream may start again under its
 * id and crash again: a crash counts too if the time of the start differs, or if the lost request was sent after all
 * crashes before it were known.
 *
 * From [Suspicion.QUARANTINE_CRASHES] crashes on, a fingerprint is quarantined if it explains a crash that no more
 * likely one explains. Fingerprints that were lost together in each crash cannot be told apart: the quarantine holds
 * only for requests that have all of them, until an answer to a request with some of them shows that these are
 * harmless.
 */
internal object CrashEvidence {
    private const val MAX_SUSPECTS = 256

    /** Further crashes under a fingerprint are recorded up to this number. */
    private const val MAX_CRASHES = 8
    private const val MAX_FINGERPRINTS_PER_CRASH = 16
    private val MOST_LIKELY_CAUSE: Comparator<Map.Entry<Fingerprint, Suspicion>> =
        compareByDescending<Map.Entry<Fingerprint, Suspicion>> { it.value.crashes.size }
            .thenByDescending { it.value.common.size }
            .thenBy { entry -> entry.value.crashes.sumOf { it.fingerprints.size } }

    fun report(state: ControlState, command: ControlCommand.ReportCrash): AppliedCommand {
        val reported = command.requests.fold(state) { current, request -> add(current, command, request) }
        if (reported === state) return AppliedCommand(state, ControlOutcome.Done)
        return AppliedCommand(withNewVersion(withQuarantines(reported)), ControlOutcome.Done)
    }

    /** Ends the suspicions and the quarantine of the fingerprints, which did not cause any of the crashes. */
    fun clear(state: ControlState, command: ControlCommand.ClearSuspects): AppliedCommand {
        val cleared = command.fingerprints.fold(state, ::withoutFingerprint)
        if (cleared === state) return AppliedCommand(state, ControlOutcome.Done)
        return AppliedCommand(withNewVersion(withQuarantines(cleared)), ControlOutcome.Done)
    }

    /** Forgets the oldest crashes, so that the next one leads to a quarantine, and the suspects that they explain. */
    fun retry(state: ControlState, command: ControlCommand.RetryQuarantined): AppliedCommand {
        val fingerprint = command.fingerprint
        val suspicion = state.suspects[fingerprint]
        if (suspicion == null || fingerprint !in state.quarantine) return AppliedCommand(state, ControlOutcome.Done)
        val crashes = suspicion.crashes.map { it.key }
        val explained = state.suspects.filterValues { other -> other.crashes.all { it.key in crashes } }.keys
        val onTrial =
            suspicion.copy(
                crashes = suspicion.crashes.takeLast(Suspicion.QUARANTINE_CRASHES - 1),
                trials = suspicion.trials + 1,
            )
        val remaining = explained.fold(state.suspects) { suspects, other -> suspects.remove(other) }
        val retried = state.copy(
            suspects = remaining.put(fingerprint, onTrial),
            quarantine = state.quarantine.remove(fingerprint),
        )
        return AppliedCommand(withNewVersion(retried), ControlOutcome.Done)
    }

    private fun withoutFingerprint(state: ControlState, fingerprint: Fingerprint): ControlState {
        if (fingerprint !in state.suspects && fingerprint !in state.quarantine) return state
        val involved = state.suspects.filter { (_, suspicion) ->
            suspicion.crashes.any { fingerprint in it.fingerprints }
        }
        val changed = involved.mapValues { (_, suspicion) ->
            suspicion.copy(crashes = suspicion.crashes.map { it.copy(fingerprints = it.fingerprints - fingerprint) })
        }
        return state.copy(
            suspects = state.suspects.putAll(changed).remove(fingerprint),
            quarantine = state.quarantine.remove(fingerprint),
        )
    }

    private fun add(state: ControlState, command: ControlCommand.ReportCrash, request: LostRequest): ControlState {
        val fingerprints = request.suspects.map { it.fingerprint }
        return request.suspects.fold(state) { current, suspect ->
            val before = current.suspects[suspect.fingerprint]
            val crash = Suspicion.Crash(
                command.upstream,
                fingerprints.take(MAX_FINGERPRINTS_PER_CRASH),
                bootOf(current, command),
                command.startedUnixMillis,
            )
            val after = if (before == null) Suspicion(listOf(crash)) else withCrash(before, crash, suspect)
            if (after == before) current else withSuspicion(current, suspect.fingerprint, after)
        }
    }

    /**
     * Returns the boot of the last crash of the upstream under any fingerprint, the next one if that was certainly another
     * start, or 0 if there is no crash.
     */
    private fun bootOf(state: ControlState, command: ControlCommand.ReportCrash): Int {
        val crashes = state.suspects.values.flatMap { it.crashes }.filter { it.upstream == command.upstream }
        val last = crashes.maxByOrNull { it.boot } ?: return 0
        return if (last.isOfOtherStart(command.startedUnixMillis)) last.boot + 1 else last.boot
    }

    /** Adds [crash], whose boot is that of the last known crash of its upstream under any fingerprint, or the next. */
    private fun withCrash(before: Suspicion, crash: Suspicion.Crash, suspect: LostRequest.Suspect): Suspicion {
        val crashes = before.crashes
        val known = crashes.lastOrNull { it.upstream == crash.upstream }
        val mayBeSameStart = known != null && !known.isOfOtherStart(crash.startedUnixMillis)
        return when {
            mayBeSameStart && suspect.knownWhenSent < crashes.size ->
                before.copy(crashes = crashes.map { if (it === known) withLost(it, crash.fingerprints) else it })
            suspect.knownCrashes < crashes.size || crashes.size >= MAX_CRASHES -> before
            known?.boot == crash.boot -> before.copy(crashes = crashes + crash.copy(boot = crash.boot + 1))
            else -> before.copy(crashes = crashes + crash)
        }
    }

    private fun withLost(crash: Suspicion.Crash, fingerprints: List<Fingerprint>): Suspicion.Crash {
        val all = (crash.fingerprints + fingerprints).distinct()
        return crash.copy(fingerprints = all.take(MAX_FINGERPRINTS_PER_CRASH))
    }

    private fun withSuspicion(state: ControlState, fingerprint: Fingerprint, suspicion: Suspicion): ControlState =
        withoutSurplus(state.copy(suspects = state.suspects.put(fingerprint, suspicion)))

    /** Removes the oldest of the suspects with the fewest crashes if there are too many. */
    private fun withoutSurplus(state: ControlState): ControlState {
        if (state.suspects.size <= MAX_SUSPECTS) return state
        val surplus = state.suspects.entries.minBy { it.value.crashes.size }.key
        return state.copy(suspects = state.suspects.remove(surplus), quarantine = state.quarantine.remove(surplus))
    }

    /**
     * Quarantines the suspects that explain the crashes: those with the most crashes first, of these the ones whose
     * quarantine holds for the fewest requests, and of these the ones that the fewest others were lost together with.
     * A suspect whose crashes are all explained by earlier ones is not, or no longer, quarantined.
     */
    private fun withQuarantines(state: ControlState): ControlState {
        val explained = HashSet<Pair<UpstreamId, Int>>()
        val due = state.suspects.entries
            .filter { it.value.crashes.size >= Suspicion.QUARANTINE_CRASHES }
            .sortedWith(MOST_LIKELY_CAUSE)
            .filter { (_, suspicion) ->
                val hasUnexplainedCrash = explained.addAll(suspicion.crashes.map { it.key })
                hasUnexplainedCrash
            }
        val reasons = due.associate { it.key to reason(it.value) }
        val explainedSuspects = state.quarantine.keys.filter { it in state.suspects && it !in reasons }
        val kept = explainedSuspects.fold(state.quarantine) { quarantine, fingerprint ->
            quarantine.remove(fingerprint)
        }
        return state.copy(quarantine = withoutOldest(kept.putAll(reasons), Quarantines.MAX_QUARANTINED))
    }

    private fun reason(suspicion: Suspicion): String =
        suspicion.crashes.joinToString(", ") { it.upstream.text } + " crashed one after the other while answering"

    private fun withNewVersion(state: ControlState): ControlState =
        state.copy(quarantineVersion = state.quarantineVersion + 1)
}
