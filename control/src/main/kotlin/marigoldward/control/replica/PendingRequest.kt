package marigoldward.control.replica

import marigoldward.core.control.ControlOutcome
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.ReplicaRefusal
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.control.LeaseReply
import marigoldward.wire.control.SubmitReply

/**
 * A request that waits for the log or for a quorum. One of the functions other than [onAccepted] is called once, when
 * its result is known.
 */
internal sealed interface PendingRequest {
    /** The entry of the request was appended to the log at [index]. Its result is not known yet. */
    fun onAccepted(index: Long) = Unit

    /** The entry of the request is committed. Applying it gave [outcome]. */
    fun onCommitted(outcome: ControlOutcome)

    /** The replica refused the request, which has no effect. */
    fun onRefused(refusal: ReplicaRefusal)

    /** Leadership was lost while the entry was in the log: it may still be committed by another leader. */
    fun onUnknown()

    /** The batch of the request could not be persisted and was rolled back, for [reason]. */
    fun onRolledBack(reason: String)

    /** A quorum has confirmed that this replica was the leader after the request had arrived. */
    fun onConfirmed() = Unit

    /** A command that a client submitted. */
    class Command(private val answer: (SubmitReply) -> Unit) : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = answer(SubmitReply.Committed(outcome))

        override fun onRefused(refusal: ReplicaRefusal) = answer(refusal.toReply())

        override fun onUnknown() = answer(SubmitReply.Unknown)

        override fun onRolledBack(reason: String) = answer(SubmitReply.Refused(reason))
    }

    /** The grant of a lease. */
    class LeaseGrant(private val answer: (LeaseReply) -> Unit) : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = when (outcome) {
            is ControlOutcome.LeaseGranted -> answer(LeaseReply.Granted(outcome.token))
            is ControlOutcome.LeaseHeld -> answer(LeaseReply.Taken(outcome.holder, 0))
            else -> error("unexpected outcome of a lease grant: $outcome")
        }

        override fun onRefused(refusal: ReplicaRefusal) = answer(LeaseReply.Unavailable(refusal.leaderOrNull()))

        override fun onUnknown() = answer(LeaseReply.Unavailable(null))

        override fun onRolledBack(reason: String) = answer(LeaseReply.Unavailable(null))
    }

    /**
     * A request that writes nothing to the log and only needs a quorum to confirm that this replica leads.
     *
     * @param ifLeader returns the answer once leadership is confirmed
     * @param ifNotLeader returns the answer otherwise, from the presumed leader, if one is known
     */
    class LeadershipCheck<A>(
        private val ifLeader: () -> A,
        private val ifNotLeader: (InstanceId?) -> A,
        private val answer: (A) -> Unit,
    ) : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = error("a leadership check has no entry in the log")

        override fun onRefused(refusal: ReplicaRefusal) = answer(ifNotLeader(refusal.leaderOrNull()))

        override fun onUnknown() = answer(ifNotLeader(null))

        override fun onRolledBack(reason: String) = answer(ifNotLeader(null))

        override fun onConfirmed() = answer(ifLeader())
    }

    /** A change of the members that this replica makes as the leader. Its result is only logged. */
    class AutomaticMemberChange(
        private val decision: MembershipLog.Decision,
        private val membershipLog: MembershipLog,
    ) : PendingRequest {
        override fun onAccepted(index: Long) = membershipLog.onAccepted(decision, index)

        override fun onCommitted(outcome: ControlOutcome) = end("committed")

        override fun onRefused(refusal: ReplicaRefusal) =
            membershipLog.onRefused(decision, refusal, MonotonicClock.nowMillis())

        override fun onUnknown() = end("leadership_lost")

        override fun onRolledBack(reason: String) = end(reason)

        private fun end(outcome: String) = membershipLog.onEnded(decision, outcome, MonotonicClock.nowMillis())
    }
}
