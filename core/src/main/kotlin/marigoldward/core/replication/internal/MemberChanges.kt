package marigoldward.core.replication.internal

import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.MemberChange
import marigoldward.core.replication.Members
import marigoldward.core.replication.ReplicaAction
import marigoldward.core.replication.ReplicaEvent
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaRefusal
import marigoldward.core.replication.ReplicaRole
import marigoldward.core.replication.ReplicaState
import marigoldward.core.replication.ReplicaStep
import marigoldward.core.replication.with

/** Which changes of members are safe, and how they are made: one at a time. */
internal object MemberChanges {
    private const val CAUGHT_UP_ENTRIES = 64L

    fun change(state: ReplicaState, event: ReplicaEvent.ChangeMembers, nowMillis: Long): ReplicaStep {
        val refusal = refusalOrNull(state, event.change, nowMillis)
        if (refusal != null) return state.with(ReplicaAction.Refused(event.requestId, refusal))
        val members = changed(state.log.members, event.change)
        return Leaders.accept(state, event.requestId, EntryPayload.MembersChange(members), nowMillis)
    }

    private fun changed(members: Members, change: MemberChange): Members = when (change) {
        is MemberChange.AddLearner -> members.copy(learners = members.learners + change.replica)
        is MemberChange.Promote ->
            Members(members.voters + change.replica, members.learners - change.replica)
        is MemberChange.Remove ->
            Members(members.voters - change.replica, members.learners - change.replica)
    }

    private fun refusalOrNull(state: ReplicaState, change: MemberChange, nowMillis: Long): ReplicaRefusal? {
        val role = state.role as? ReplicaRole.Leader ?: return ReplicaRefusal.NotLeader(state.leaderOrNull)
        val members = state.log.members
        return when {
            !Leaders.hasCommittedInTerm(state) -> ReplicaRefusal.NotReady
            state.log.membersIndex > state.commitIndex ->
                ReplicaRefusal.ChangeUnderWay("entry ${state.log.membersIndex} is not committed yet")
            else -> when (change) {
                is MemberChange.AddLearner -> refuseLearner(members, change.replica)
                is MemberChange.Promote -> refusePromotion(state, role, change.replica, nowMillis)
                is MemberChange.Remove -> refuseRemoval(state, role, change.replica, nowMillis)
            }
        }
    }

    private fun refuseLearner(members: Members, replica: ReplicaId): ReplicaRefusal? = when {
        replica in members.all -> ReplicaRefusal.UnsafeChange("$replica is a member already")
        members.learners.isNotEmpty() ->
            ReplicaRefusal.ChangeUnderWay("${members.learners.first()} is still a learner")
        else -> null
    }

    private fun refusePromotion(
        state: ReplicaState,
        role: ReplicaRole.Leader,
        replica: ReplicaId,
        nowMillis: Long,
    ): ReplicaRefusal? = when {
        replica !in state.log.members.learners -> ReplicaRefusal.UnsafeChange("$replica is not a learner")
        !isCaughtUp(state, role, replica, nowMillis) -> ReplicaRefusal.UnsafeChange("$replica has not caught up")
        else -> null
    }

    private fun refuseRemoval(
        state: ReplicaState,
        role: ReplicaRole.Leader,
        replica: ReplicaId,
        nowMillis: Long,
    ): ReplicaRefusal? {
        val members = state.log.members
        if (replica in members.learners) return null
        if (replica !in members.voters) return ReplicaRefusal.UnsafeChange("$replica is not a member")
        val live = liveMembers(state, role, nowMillis)
        val successor = members.learnerOrNull(replica.name) ?: members.learners.firstOrNull()
        val otherLearner = members.learners.firstOrNull { it.name != replica.name }
        val remaining = changed(members, MemberChange.Remove(replica))
        return when {
            otherLearner != null && replica in live -> ReplicaRefusal.ChangeUnderWay("$otherLearner is still a learner")
            successor == null -> ReplicaRefusal.UnsafeChange("no learner is there to replace $replica")
            !isCaughtUp(state, role, successor, nowMillis) ->
                ReplicaRefusal.UnsafeChange("$successor has not caught up")
            remaining.voters.isEmpty() -> ReplicaRefusal.UnsafeChange("$replica is the last voter")
            !remaining.isQuorum(live) -> ReplicaRefusal.UnsafeChange("too few of ${remaining.voters} answer")
            else -> null
        }
    }

    private fun isCaughtUp(
        state: ReplicaState,
        role: ReplicaRole.Leader,
        replica: ReplicaId,
        nowMillis: Long,
    ): Boolean {
        val progress = role.progress[replica] ?: return false
        val isLive = replica in liveMembers(state, role, nowMillis)
        return isLive && progress.matchIndex > 0 && progress.matchIndex + CAUGHT_UP_ENTRIES >= state.log.lastIndex
    }

    private fun liveMembers(state: ReplicaState, role: ReplicaRole.Leader, nowMillis: Long): Set<ReplicaId> {
        val timeoutMillis = state.timing.electionTimeoutMillis
        return role.progress.filterValues { nowMillis - it.heardMillis < timeoutMillis }.keys + state.self
    }
}
