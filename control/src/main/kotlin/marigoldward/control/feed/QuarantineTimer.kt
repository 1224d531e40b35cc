package marigoldward.control.feed

import marigoldward.core.control.ControlState
import marigoldward.core.control.Fingerprint

/**
 * Measures how long fingerprints have been quarantined. The time starts anew with each leader, so that a quarantine
 * lasts at least as long as it should.
 *
 * Has no clock or thread of its own and is not thread-safe.
 */
internal class QuarantineTimer {
    private val sinceMillis = HashMap<Fingerprint, Long>()

    /** Returns the fingerprints whose quarantine in [state] is over at [nowMillis], if this instance leads. */
    fun due(state: ControlState, isLeader: Boolean, nowMillis: Long): List<Fingerprint> {
        sinceMillis.keys.retainAll(if (isLeader) state.quarantine.keys else emptySet())
        if (!isLeader) return emptyList()
        return state.quarantine.keys.filter { fingerprint ->
            val suspicion = state.suspects[fingerprint] ?: return@filter false
            nowMillis - sinceMillis.getOrPut(fingerprint) { nowMillis } >= suspicion.quarantineMillis
        }
    }
}
