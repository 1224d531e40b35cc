package marigoldward.core.replication

import marigoldward.core.replication.internal.FollowerReplication
import marigoldward.core.replication.internal.LeaderElection
import marigoldward.core.replication.internal.LeaderReplication
import marigoldward.core.replication.internal.MembershipChanges

/**
 * The Raft consensus algorithm as a pure function.
 *
 * Includes pre-votes, learners, single-server membership changes, and leaders that step down when they lose contact
 * to a quorum. It uses no clock, disk, network or external source of randomness: the caller passes in events and
 * times, and carries out the returned actions.
 */
public object Replica {
    /** Returns the new state and the actions that result from [event] at [nowMillis] of monotonic time. */
    public fun step(state: ReplicaState, event: ReplicaEvent, nowMillis: Long): ReplicaStep = when (event) {
        is ReplicaEvent.Tick -> tick(state, nowMillis)
        is ReplicaEvent.Received -> receive(state, event, nowMillis)
        is ReplicaEvent.Propose -> LeaderReplication.propose(state, event, nowMillis)
        is ReplicaEvent.ConfirmLeadership -> LeaderReplication.confirmLeadership(state, event, nowMillis)
        is ReplicaEvent.ChangeMembers -> MembershipChanges.changeMembers(state, event, nowMillis)
        is ReplicaEvent.SnapshotTaken -> state.copy(log = state.log.compactedTo(event.index)).withoutActions()
        is ReplicaEvent.Resign -> LeaderElection.resign(state, nowMillis)
    }

    private fun tick(state: ReplicaState, nowMillis: Long): ReplicaStep = when {
        state.isLeader -> LeaderReplication.tick(state, nowMillis)
        nowMillis < state.electionDeadlineMillis -> state.withoutActions()
        state.isVoter -> LeaderElection.startPreVote(state, nowMillis)
        // Nobody tells a learner that it was removed, so a leader that was long silent may be none any more.
        else -> state.copy(role = ReplicaRole.Follower(null)).withoutActions()
    }

    private fun receive(state: ReplicaState, event: ReplicaEvent.Received, nowMillis: Long): ReplicaStep {
        val message = event.message
        if (message is ReplicaMessage.VoteRequest) {
            return LeaderElection.answerVoteRequest(state, event.from, message, nowMillis)
        }
        val advanced = LeaderElection.adoptTerm(state, message, nowMillis)
        return advanced.then { current ->
            when (message) {
                is ReplicaMessage.VoteRequest -> current.withoutActions()
                is ReplicaMessage.VoteReply -> LeaderElection.countVote(current, event.from, message, nowMillis)
                is ReplicaMessage.Append -> FollowerReplication.handleAppend(current, event.from, message, nowMillis)
                is ReplicaMessage.Install -> FollowerReplication.handleInstall(current, event.from, message, nowMillis)
                is ReplicaMessage.AppendReply ->
                    LeaderReplication.handleAppendReply(current, event.from, message, nowMillis)
                        .then { MembershipChanges.appendConfirmedPromotion(it, nowMillis) }
            }
        }
    }
}
