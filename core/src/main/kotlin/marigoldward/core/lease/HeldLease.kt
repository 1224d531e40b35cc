package marigoldward.core.lease

import marigoldward.core.model.FencingToken

/**
 * A lease from the point of view of its holder.
 *
 * The holder counts the validity from when it sent the request, and subtracts the margin. So it stops acting before the
 * grantor considers the lease expired.
 *
 * @property requestedMillis when the last successful grant or renewal was requested, in milliseconds of monotonic time
 */
public data class HeldLease(val token: FencingToken, val requestedMillis: Long, val timing: LeaseTiming) {
    /** When the holder must stop acting, in milliseconds of monotonic time. */
    val endMillis: Long get() = requestedMillis + timing.durationMillis - timing.marginMillis

    /** Returns whether the holder may act at [nowMillis]. */
    public fun isValid(nowMillis: Long): Boolean = nowMillis < endMillis

    /** Returns the lease after a successful renewal that was requested at [requestedMillis]. */
    public fun renewed(requestedMillis: Long): HeldLease =
        copy(requestedMillis = maxOf(this.requestedMillis, requestedMillis))
}
