package marigoldward.controller.control

import marigoldward.core.control.LeaseScope
import marigoldward.core.lease.HeldLease
import marigoldward.core.lease.LeaseTiming
import marigoldward.core.model.InstanceId
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.control.ControlClient
import marigoldward.wire.control.LeaseReply
import marigoldward.wire.control.LeaseRequest

/**
 * Acquires and renews the lease of one scope.
 *
 * [holder] must differ between runs of a process, so that a restarted process never continues the lease of its previous
 * run.
 */
internal class LeaseClient(
    private val scope: LeaseScope,
    private val holder: InstanceId,
    private val control: ControlClient,
) {
    @Volatile
    private var lastGranted: HeldLease? = null
    private var acquiredMillis = 0L

    /** The lease, or null if it is not held or has expired. */
    val validOrNull: HeldLease? get() = lastGranted?.takeIf { it.isValid(MonotonicClock.nowMillis()) }

    /** How long the lease has been held under its current fencing token, or 0 if it is not held. */
    val heldForMillis: Long get() = if (validOrNull == null) 0 else MonotonicClock.nowMillis() - acquiredMillis

    /** Requests the lease, or its renewal if it is held. Must be called periodically. */
    fun acquireOrRenew() {
        val requestedMillis = MonotonicClock.nowMillis()
        val current = validOrNull
        if (current == null && lastGranted != null) onLost("ran out")
        val reply = control.lease(LeaseRequest(scope, holder, current?.token), REQUEST_TIMEOUT_MILLIS)
        when (reply) {
            is LeaseReply.Granted -> onGranted(reply, current, requestedMillis)
            is LeaseReply.Taken -> if (current != null) onLost("is held by ${reply.holder}")
            is LeaseReply.Unavailable, null -> Unit
        }
    }

    /** Stops using the lease, after an engine has seen a newer fencing token. */
    fun abandon() = onLost("an engine has seen a newer token")

    private fun onGranted(reply: LeaseReply.Granted, current: HeldLease?, requestedMillis: Long) {
        if (current != null && current.token == reply.token) {
            lastGranted = current.renewed(requestedMillis)
            return
        }
        lastGranted = HeldLease(reply.token, requestedMillis, LeaseTiming.DEFAULT)
        acquiredMillis = MonotonicClock.nowMillis()
        log.info("lease_acquired") {
            field("scope", scope)
            field("token", reply.token)
        }
    }

    private fun onLost(reason: String) {
        lastGranted = null
        log.info("lease_lost") {
            field("scope", scope)
            field("reason", reason)
        }
    }

    private companion object {
        const val REQUEST_TIMEOUT_MILLIS = 1_500L
        val log = EventLog.fromName("lease")
    }
}
