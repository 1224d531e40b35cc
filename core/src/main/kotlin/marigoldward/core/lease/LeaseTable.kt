package marigoldward.core.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.control.LeaseScope
import marigoldward.core.model.FencingToken

/**
 * The expiry times of leases on the monotonic clock of the leader, which grants them. Immutable.
 *
 * The table is not replicated. A new leader treats every lease as if it had been renewed when the leader took office,
 * which is later than any renewal that an earlier leader can have confirmed.
 *
 * @property leadershipStartMillis when this replica became the leader, in milliseconds of monotonic time
 */
public data class LeaseTable(
    val timing: LeaseTiming,
    val leadershipStartMillis: Long,
    private val leaseStarts: PersistentMap<LeaseScope, LeaseStart>,
) {
    /** The newest grant or renewal of a lease by this leader; [startMillis] is in milliseconds of monotonic time. */
    public data class LeaseStart(val token: FencingToken, val startMillis: Long)

    /** Returns the table after a grant or renewal of the lease [token] of [scope] that took effect at [nowMillis]. */
    public fun withLeaseStart(scope: LeaseScope, token: FencingToken, nowMillis: Long): LeaseTable =
        copy(leaseStarts = leaseStarts.put(scope, LeaseStart(token, nowMillis)))

    /**
     * Returns the table after a renewal of the lease [token] of [scope] at [nowMillis], or null if it has expired.
     *
     * An expired lease is never renewed, since a grant to another holder may already be in progress.
     */
    public fun renewedOrNull(scope: LeaseScope, token: FencingToken, nowMillis: Long): LeaseTable? =
        if (remainingMillis(scope, token, nowMillis) == 0L) null else withLeaseStart(scope, token, nowMillis)

    /** Returns how long the holder of the lease [token] of [scope] may still act, in milliseconds; 0 if it expired. */
    public fun remainingMillis(scope: LeaseScope, token: FencingToken, nowMillis: Long): Long {
        val startMillis = leaseStarts[scope]?.takeIf { it.token == token }?.startMillis ?: leadershipStartMillis
        val endMillis = startMillis + timing.durationMillis + timing.marginMillis
        return maxOf(0, endMillis - nowMillis)
    }

    /** Creates tables. */
    public companion object {
        /** Returns the table of a replica that became the leader at [nowMillis]. */
        public fun forNewLeader(timing: LeaseTiming, nowMillis: Long): LeaseTable =
            LeaseTable(timing, nowMillis, persistentMapOf())
    }
}
