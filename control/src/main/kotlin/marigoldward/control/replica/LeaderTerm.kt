package marigoldward.control.replica

import marigoldward.core.duties.ConfirmedToken
import marigoldward.core.duties.LeaderTenure
import marigoldward.core.model.FencingToken
import marigoldward.support.duty.Duty
import marigoldward.support.time.MonotonicClock
import marigoldward.support.time.SystemClocks
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * The right to perform duties that one control instance performs at a time: the leader of a term, with the term as the
 * fencing token.
 *
 * A call of the previous leader may still arrive for a while, so a new leader has no right for [takeoverDelayMillis]. Used
 * by one thread; every call waits for a majority to confirm that this replica still leads.
 */
internal class LeaderTerm(private val replica: Duty<ReplicaDutyEvent>, takeoverDelayMillis: Long) {
    private var tenure = LeaderTenure.none(takeoverDelayMillis)

    /** Returns the token of the current term, or null unless this replica leads and its takeover delay is over. */
    fun tokenOrNull(): FencingToken? = confirmedOrNull()?.token

    /** Returns the token of the current term with the time of its confirmation, or null like [tokenOrNull]. */
    fun confirmedOrNull(): ConfirmedToken? {
        val askedAt = SystemClocks.read()
        val current = confirmedTermOrNull() ?: return null
        val nowMillis = MonotonicClock.nowMillis()
        tenure = tenure.withConfirmation(current, nowMillis)
        return tenure.tokenOrNull(nowMillis)?.let { ConfirmedToken(it, askedAt) }
    }

    /** Returns the term in which this replica leads, confirmed by a majority, or null. */
    private fun confirmedTermOrNull(): Long? {
        val answer = CompletableFuture<Long?>()
        if (!replica.offer(ReplicaDutyEvent.ReadLeaderTerm(answer::complete))) return null
        return try {
            answer.get(CONFIRM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        }
    }

    private companion object {
        const val CONFIRM_TIMEOUT_MILLIS = 1_000L
    }
}
