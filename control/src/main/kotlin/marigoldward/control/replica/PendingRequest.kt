package marigoldward.control.replica

import marigoldward.core.control.ControlOutcome
import marigoldward.core.replication.ReplicaRefusal
import marigoldward.wire.control.EnginesReply
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

    /** The renewal of a lease, which only needs to know that this replica leads. */
    class Renewal(private val onLeading: () -> LeaseReply, private val answer: (LeaseReply) -> Unit) : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = error("a renewal is not in the log")

        override fun onRefused(refusal: ReplicaRefusal) = answer(LeaseReply.Unavailable(refusal.leaderOrNull()))

        override fun onUnknown() = answer(LeaseReply.Unavailable(null))

        override fun onWithdrawn(reason: String) = answer(LeaseReply.Unavailable(null))

        override fun onConfirmed() = answer(onLeading())
    }

    /** A read of the engines' records. */
    class EngineRead(private val onLeading: () -> EnginesReply, private val answer: (EnginesReply) -> Unit) :
        PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = error("a read is not in the log")

        override fun onRefused(refusal: ReplicaRefusal) = answer(EnginesReply(null, refusal.leaderOrNull()))

        override fun onUnknown() = answer(EnginesReply(null, null))

        override fun onWithdrawn(reason: String) = answer(EnginesReply(null, null))

        override fun onConfirmed() = answer(onLeading())
    }

    /** A read of the configuration of routes. */
    class RoutesReading(private val onLeading: () -> RoutesRead, private val answer: (RoutesRead) -> Unit) :
        PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = error("a read is not in the log")

        override fun onRefused(refusal: ReplicaRefusal) = answer(RoutesRead.NotLeader(refusal.leaderOrNull()))

        override fun onUnknown() = answer(RoutesRead.NotLeader(null))

        override fun onWithdrawn(reason: String) = answer(RoutesRead.NotLeader(null))

        override fun onConfirmed() = answer(onLeading())
    }

    /** The question whether this replica leads; [term] is the one in which it did when it was asked. */
    class Leading(private val term: Long, private val answer: (Long?) -> Unit) : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = error("a question is not in the log")

        override fun onRefused(refusal: ReplicaRefusal) = answer(null)

        override fun onUnknown() = answer(null)

        override fun onWithdrawn(reason: String) = answer(null)

        override fun onConfirmed() = answer(term)
    }

    /** A change of members that this replica makes by itself. */
    data object OwnChange : PendingRequest {
        override fun onCommitted(outcome: ControlOutcome) = Unit

        override fun onRefused(refusal: ReplicaRefusal) = Unit

        override fun onUnknown() = Unit

        override fun onWithdrawn(reason: String) = Unit
    }
}
