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
import marigoldward.core.replication.withActions

/** Membership changes of a leader: one member at a time, and only if the change can't cost the cluster its quorum. */
internal object MembershipChanges {
    /** How many entries a learner may still lack when it is promoted or replaces a voter. */
    private const val MAX_LAG_ENTRIES = 64L

    fun changeMembers(state: ReplicaState, event: ReplicaEvent.ChangeMembers, nowMillis: Long): ReplicaStep {
        val refusal = refusalOrNull(state, event.change, nowMillis)
        if (refusal != null) return state.withActions(ReplicaAction.Refused(event.requestId, refusal))
        val members = membersAfter(state.log.members, event.change)
        return LeaderReplication.appendAndSend(state, event.requestId, EntryPayload.MembersChange(members), nowMillis)
    }

    private fun membersAfter(members: Members, change: MemberChange): Members = when (change) {
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
            !LeaderReplication.hasCommittedInTerm(state) -> ReplicaRefusal.NotReady
            state.log.membersIndex > state.commitIndex ->
                ReplicaRefusal.ChangeInProgress("entry ${state.log.membersIndex} is not committed yet")
            else -> when (change) {
                is MemberChange.AddLearner -> learnerRefusalOrNull(members, change.replica)
                is MemberChange.Promote -> promotionRefusalOrNull(state, role, change.replica, nowMillis)
                is MemberChange.Remove -> removalRefusalOrNull(state, role, change.replica, nowMillis)
            }
        }
    }

    private fun learnerRefusalOrNull(members: Members, replica: ReplicaId): ReplicaRefusal? = when {
        replica in members.all -> ReplicaRefusal.UnsafeChange("$replica is already a member")
        members.learners.isNotEmpty() ->
            ReplicaRefusal.ChangeInProgress("${members.learners.first()} is still a learner")
        else -> null
    }

    private fun promotionRefusalOrNull(
        state: ReplicaState,
        role: ReplicaRole.Leader,
        replica: ReplicaId,
        nowMillis: Long,
    ): ReplicaRefusal? = when {
        replica !in state.log.members.learners -> ReplicaRefusal.UnsafeChange("$replica is not a learner")
        !isCaughtUp(state, role, replica, nowMillis) -> ReplicaRefusal.UnsafeChange("$replica has not caught up")
        else -> null
    }

    private fun removalRefusalOrNull(
        state: ReplicaState,
        role: ReplicaRole.Leader,
        replica: ReplicaId,
        nowMillis: Long,
    ): ReplicaRefusal? {
        val members = state.log.members
        if (replica in members.learners) return null
        if (replica !in members.voters) return ReplicaRefusal.UnsafeChange("$replica is not a member")
        val live = liveMembers(state, role, nowMillis)
        val replacement = members.learnerOrNull(replica.name) ?: members.learners.firstOrNull()
        val otherLearner = members.learners.firstOrNull { it.name != replica.name }
        val remaining = membersAfter(members, MemberChange.Remove(replica))
        return when {
            otherLearner != null && replica in live ->
                ReplicaRefusal.ChangeInProgress("$otherLearner is still a learner")
            replacement == null && !members.toleratesRemoval ->
                ReplicaRefusal.UnsafeChange("there is no learner to replace $replica")
            replacement != null && !isCaughtUp(state, role, replacement, nowMillis) ->
                ReplicaRefusal.UnsafeChange("$replacement has not caught up")
            remaining.voters.isEmpty() -> ReplicaRefusal.UnsafeChange("$replica is the last voter")
            !remaining.isQuorum(live) ->
                ReplicaRefusal.UnsafeChange("fewer than a quorum of ${remaining.voters} respond")
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
        return isLive && progress.matchIndex > 0 && progress.matchIndex + MAX_LAG_ENTRIES >= state.log.lastIndex
    }

    /** Returns the members that replied within the last election timeout, and the leader itself. */
    private fun liveMembers(state: ReplicaState, role: ReplicaRole.Leader, nowMillis: Long): Set<ReplicaId> {
        val timeoutMillis = state.timing.electionTimeoutMillis
        return role.progress.filterValues { nowMillis - it.lastReplyMillis < timeoutMillis }.keys + state.self
    }
}
