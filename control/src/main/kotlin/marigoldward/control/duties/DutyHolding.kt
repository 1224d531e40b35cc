package marigoldward.control.duties

import marigoldward.control.replica.LeaderTerm
import marigoldward.core.duties.ConfirmedToken
import marigoldward.core.model.FencingToken

/**
 * Whether this instance holds [duty], under the name [holder], as of the last call of [refresh]. Logs and measures when
 * that changes. Used by one thread.
 */
internal class DutyHolding(
    private val duty: ProviderDuty,
    private val holder: String,
    private val leaderTerm: LeaderTerm,
) {
    /** The token with which the duty is held, or null if it is not. */
    var token: FencingToken? = null
        private set

    /** Finds out whether the duty is held, unless it is not [isAsked] for, and returns whether the token has changed. */
    fun refresh(isAsked: Boolean = true): Boolean {
        val current = if (isAsked) leaderTerm.tokenOrNull() else null
        if (current == token) return false
        token = current
        if (current ==
            null
        ) {
            DutyMetrics.recordNotHolder(duty, holder)
        } else {
            DutyMetrics.recordHolder(duty, holder, current)
        }
        return true
    }

    /** Returns [token] if a majority confirms it now, or null. */
    fun confirmedOrNull(): ConfirmedToken? = leaderTerm.confirmedOrNull()?.takeIf { it.token == token }
}
