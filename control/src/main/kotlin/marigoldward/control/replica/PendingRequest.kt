package marigoldward.control.replica

import marigoldward.core.control.ControlOutcome
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.ReplicaRefusal
import marigoldward.wire.control.LeaseReply
import marigoldward.wire.control.SubmitReply

/** A request that waits for the log, and how each way in which that ends is answered. */
internal sealed interface PendingRequest {
    fun onCommitted(outcome: ControlOutcome)

    fun onRefused(refusal: ReplicaRefusal)

    fun onUnknown()

    fun onWithdrawn(reason: String)

    fun onConfirmed() = Unit

    /** A command of a client. */
    class Command(private val answer: (SubmitReply) -> Unit) : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = answer(SubmitReply.Committed(outcome))

        override fun onRefused(refusal: ReplicaRefusal) = answer(refusal.toReply())

        override fun onUnknown() = answer(SubmitReply.Unknown)

        override fun onWithdrawn(reason: String) = answer(SubmitReply.Refused(reason))
    }

    /** The grant of a lease. */
    class Grant(private val answer: (LeaseReply) -> Unit) : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = when (outcome) {
            is ControlOutcome.LeaseGranted -> answer(LeaseReply.Granted(outcome.token))
            is ControlOutcome.LeaseHeld -> answer(LeaseReply.Taken(outcome.holder, 0))
            else -> error("a grant came to $outcome")
        }

        override fun onRefused(refusal: ReplicaRefusal) = answer(LeaseReply.Unavailable(refusal.leaderOrNull()))

        override fun onUnknown() = answer(LeaseReply.Unavailable(null))

        override fun onWithdrawn(reason: String) = answer(LeaseReply.Unavailable(null))
    }

    /**
     * What only needs to know that this replica leads.
     *
     * @param ifLeading the answer once a quorum has confirmed it
     * @param otherwise the answer if it does not lead, with the instance that may
     */
    class Confirmation<A>(
        private val ifLeading: () -> A,
        private val otherwise: (InstanceId?) -> A,
        private val answer: (A) -> Unit,
    ) : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = error("what is confirmed is not in the log")

        override fun onRefused(refusal: ReplicaRefusal) = answer(otherwise(refusal.leaderOrNull()))

        override fun onUnknown() = answer(otherwise(null))

        override fun onWithdrawn(reason: String) = answer(otherwise(null))

        override fun onConfirmed() = answer(ifLeading())
    }

    /** A change of members that this replica makes by itself. */
    data object OwnChange : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = Unit

        override fun onRefused(refusal: ReplicaRefusal) = Unit

        override fun onUnknown() = Unit

        override fun onWithdrawn(reason: String) = Unit
    }
}
