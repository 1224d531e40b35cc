package marigoldward.core.replication.internal

import marigoldward.core.replication.HardState
import marigoldward.core.replication.ReplicaAction
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicaRole
import marigoldward.core.replication.ReplicaState
import marigoldward.core.replication.ReplicaStep
import marigoldward.core.replication.withActions
import marigoldward.core.replication.withElectionDeadline
import marigoldward.core.replication.withoutActions

/** Leader election with pre-votes. */
internal object LeaderElection {
    /** How long a replica that resigned waits before it starts an election, in election timeouts. */
    private const val RESIGNATION_ELECTION_TIMEOUTS = 5

    /**
     * Starts a pre-vote.
     *
     * The election itself starts only if a quorum grants the pre-vote, so a replica that was cut off doesn't raise the
     * term and depose a leader that works.
     */
    fun startPreVote(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val candidate =
            state
                .withElectionDeadline(nowMillis)
                .copy(role = ReplicaRole.Candidate(isPreVote = true, votes = setOf(state.self)))
        return requestVotes(candidate, candidate.hardState.term + 1, isPreVote = true, nowMillis)
    }

    /**
     * Answers a vote request.
     *
     * Rejects it if a leader made contact within the election timeout, so that a replica that lost contact to a working
     * leader can't depose it. Also rejects other incarnations of members, see [ReplicaId].
     */
    fun answerVoteRequest(
        state: ReplicaState,
        from: ReplicaId,
        request: ReplicaMessage.VoteRequest,
        nowMillis: Long,
    ): ReplicaStep {
        if (hasRecentLeader(state, nowMillis) || isOtherIncarnationOfMember(state, from)) {
            return rejectVote(state, from, request)
        }
        if (request.isPreVote) return answerPreVote(state, from, request)
        val advanced = adoptTerm(state, request, nowMillis)
        return advanced.then { current -> answerVote(current, from, request, nowMillis) }
    }

    /**
     * Adopts the term of [message] and becomes a follower if that term is newer.
     *
     * The term in a granted pre-vote is only proposed and is not adopted.
     */
    fun adoptTerm(state: ReplicaState, message: ReplicaMessage, nowMillis: Long): ReplicaStep {
        val isGrantedPreVote = message is ReplicaMessage.VoteReply && message.isPreVote && message.granted
        if (message.term <= state.hardState.term || isGrantedPreVote) return state.withoutActions()
        val hardState = HardState(message.term, null)
        val step = stepDown(state.copy(hardState = hardState), nowMillis)
        return step.plus(ReplicaAction.PersistHardState(hardState))
    }

    /** Becomes a follower that doesn't know a leader. */
    fun stepDown(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val follower = state.withElectionDeadline(nowMillis).copy(role = ReplicaRole.Follower(null))
        val role = state.role
        if (role !is ReplicaRole.Leader) return follower.withoutActions()
        val rejections = LeaderReplication.rejectPending(role)
        return ReplicaStep(follower, rejections + ReplicaAction.LeadershipLost)
    }

    /** Steps down and delays this replica's next election, so that another replica becomes the leader. */
    fun resign(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val step = stepDown(state, nowMillis)
        val pauseMillis = RESIGNATION_ELECTION_TIMEOUTS * state.timing.electionTimeoutMillis
        return step.copy(state = step.state.copy(electionDeadlineMillis = nowMillis + pauseMillis))
    }

    fun countVote(
        state: ReplicaState,
        from: ReplicaId,
        reply: ReplicaMessage.VoteReply,
        nowMillis: Long,
    ): ReplicaStep {
        val role = state.role
        if (role !is ReplicaRole.Candidate || role.isPreVote != reply.isPreVote || !reply.granted) {
            return state.withoutActions()
        }
        val expectedTerm = if (role.isPreVote) state.hardState.term + 1 else state.hardState.term
        if (reply.term != expectedTerm) return state.withoutActions()
        val votes = role.votes + from
        return evaluateVotes(state.copy(role = role.copy(votes = votes)), votes, role.isPreVote, nowMillis)
    }

    private fun evaluateVotes(
        state: ReplicaState,
        votes: Set<ReplicaId>,
        isPreVote: Boolean,
        nowMillis: Long,
    ): ReplicaStep = when {
        !state.log.members.isQuorum(votes) -> state.withoutActions()
        isPreVote -> startElection(state, nowMillis)
        else -> LeaderReplication.becomeLeader(state, nowMillis)
    }

    private fun startElection(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val hardState = HardState(state.hardState.term + 1, state.self)
        val candidate =
            state
                .withElectionDeadline(nowMillis)
                .copy(
                    hardState = hardState,
                    role = ReplicaRole.Candidate(isPreVote = false, votes = setOf(state.self)),
                )
        val persisted = candidate.withActions(ReplicaAction.PersistHardState(hardState))
        return persisted.then { requestVotes(it, hardState.term, isPreVote = false, nowMillis) }
    }

    private fun requestVotes(state: ReplicaState, term: Long, isPreVote: Boolean, nowMillis: Long): ReplicaStep {
        val request = ReplicaMessage.VoteRequest(term, isPreVote, state.log.lastIndex, state.log.lastTerm)
        val others = state.log.members.voters - state.self
        val requested = ReplicaStep(state, others.map { ReplicaAction.Send(it, request) })
        return requested.then { evaluateVotes(it, setOf(it.self), isPreVote, nowMillis) }
    }

    private fun answerPreVote(state: ReplicaState, from: ReplicaId, request: ReplicaMessage.VoteRequest): ReplicaStep {
        val granted = request.term > state.hardState.term && isUpToDate(state, request)
        val term = if (granted) request.term else state.hardState.term
        return state.withActions(ReplicaAction.Send(from, ReplicaMessage.VoteReply(term, isPreVote = true, granted)))
    }

    private fun answerVote(
        state: ReplicaState,
        from: ReplicaId,
        request: ReplicaMessage.VoteRequest,
        nowMillis: Long,
    ): ReplicaStep {
        val hardState = state.hardState
        val canVote = hardState.votedFor == null || hardState.votedFor == from
        if (request.term < hardState.term || !canVote || !isUpToDate(state, request)) {
            return rejectVote(state, from, request)
        }
        val voted = HardState(hardState.term, from)
        val reply = ReplicaMessage.VoteReply(voted.term, isPreVote = false, granted = true)
        return state
            .withElectionDeadline(nowMillis)
            .copy(hardState = voted)
            .withActions(ReplicaAction.PersistHardState(voted), ReplicaAction.Send(from, reply))
    }

    private fun rejectVote(state: ReplicaState, from: ReplicaId, request: ReplicaMessage.VoteRequest): ReplicaStep {
        val reply = ReplicaMessage.VoteReply(state.hardState.term, request.isPreVote, granted = false)
        return state.withActions(ReplicaAction.Send(from, reply))
    }

    private fun hasRecentLeader(state: ReplicaState, nowMillis: Long): Boolean =
        state.isLeader || nowMillis - state.lastLeaderContactMillis < state.timing.electionTimeoutMillis

    /** Whether [from] is not a member, but another incarnation of the same instance is. */
    private fun isOtherIncarnationOfMember(state: ReplicaState, from: ReplicaId): Boolean {
        val members = state.log.members
        return from !in members.all && members.all.any { it.name == from.name }
    }

    /** Whether the log of the candidate is at least as up to date as the log of [state]. */
    private fun isUpToDate(state: ReplicaState, request: ReplicaMessage.VoteRequest): Boolean =
        request.lastTerm > state.log.lastTerm ||
            (request.lastTerm == state.log.lastTerm && request.lastIndex >= state.log.lastIndex)
}
