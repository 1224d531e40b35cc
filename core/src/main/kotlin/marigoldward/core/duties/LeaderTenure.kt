package marigoldward.core.duties

import marigoldward.core.model.FencingToken

/**
 * The terms in which this process was found to lead, and since when in the last one. The term is the fencing token of
 * the duties that the leader performs. Immutable.
 *
 * A call of the previous leader may still arrive for a while, so a new leader has no token for [takeoverDelayMillis].
 * The delay is counted in monotonic time, which stands still while the machine is suspended, so it never ends too
 * early.
 */
public class LeaderTenure private constructor(
    private val takeoverDelayMillis: Long,
    private val term: Long?,
    private val sinceMillis: Long,
) {
    /** Returns the state after a majority has confirmed at [nowMillis] that this process leads in [confirmedTerm]. */
    public fun withConfirmation(confirmedTerm: Long, nowMillis: Long): LeaderTenure =
        if (confirmedTerm == term) this else LeaderTenure(takeoverDelayMillis, confirmedTerm, nowMillis)

    /**
     * Returns the token of the last term at [nowMillis] of monotonic time, or null if its takeover delay is not over.
     */
    public fun tokenOrNull(nowMillis: Long): FencingToken? =
        term?.takeIf { nowMillis - sinceMillis >= takeoverDelayMillis }?.let(FencingToken::fromNumber)

    /** Creates states. */
    public companion object {
        /** Returns the state of a process that was never found to lead. */
        public fun none(takeoverDelayMillis: Long): LeaderTenure = LeaderTenure(takeoverDelayMillis, null, 0)
    }
}
