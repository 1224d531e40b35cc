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
import marigoldward.core.replication.withoutActions

/**
 * Membership changes of a leader: one member at a time, and only if the change can't cost the cluster its quorum.
 *
 * A promotion is in force once it is appended, and can't be committed without a quorum that may need the learner, so it
 * waits for replies of such a quorum to a round that starts after the request. What remains is the time between the
 * learner's reply and its receipt of the entry: if it is lost in this round trip while another voter is lost for good,
 * the cluster has no quorum any more. Only a joint quorum of the members before and after would avoid this.
 */
internal object MembershipChanges {
    /** How many entries a learner may still lack when it is promoted or replaces a voter. */
    private const val MAX_LAG_ENTRIES = 64L

    fun changeMembers(state: ReplicaState, event: ReplicaEvent.ChangeMembers, nowMillis: Long): ReplicaStep {
        val change = event.change
        val refusal = refusalOrNull(state, change, nowMillis) ?: pendingRefusalOrNull(state, change)
        if (refusal != null) return state.withActions(ReplicaAction.Refused(event.requestId, refusal))
        return dropPendingPromotion(state).then {
            if (change is MemberChange.Promote) {
                startPromotion(it, event.requestId, change.replica, nowMillis)
            } else {
                append(it, event.requestId, change, nowMillis)
            }
        }
    }

    /** Appends the promotion that waits for replies, if there is one and those needed have arrived. */
    fun appendConfirmedPromotion(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val role = state.role as? ReplicaRole.Leader ?: return state.withoutActions()
        val pending = role.pendingPromotion ?: return state.withoutActions()
        val change = MemberChange.Promote(pending.replica)
        val replied = role.progress.filterValues { it.acknowledgedRound >= pending.round }.keys + state.self
        val isConfirmed = pending.replica in replied && membersAfter(state.log.members, change).isQuorum(replied)
        if (!isConfirmed || refusalOrNull(state, change, nowMillis) != null) return state.withoutActions()
        return append(state.copy(role = role.copy(pendingPromotion = null)), pending.requestId, change, nowMillis)
    }

    private fun startPromotion(
        state: ReplicaState,
        requestId: Long,
        replica: ReplicaId,
        nowMillis: Long,
    ): ReplicaStep {
        val role = state.role as ReplicaRole.Leader
        val pending = ReplicaRole.PendingPromotion(requestId, replica, role.round + 1)
        return LeaderReplication.startRound(state.copy(role = role.copy(pendingPromotion = pending)), nowMillis)
    }

    private fun dropPendingPromotion(state: ReplicaState): ReplicaStep {
        val role = state.role as ReplicaRole.Leader
        val pending = role.pendingPromotion ?: return state.withoutActions()
        val refusal = ReplicaRefusal.ChangeInProgress("another change was requested before ${pending.replica} replied")
        return state
            .copy(role = role.copy(pendingPromotion = null))
            .withActions(ReplicaAction.Refused(pending.requestId, refusal))
    }

    private fun pendingRefusalOrNull(state: ReplicaState, change: MemberChange): ReplicaRefusal? {
        val pending = (state.role as? ReplicaRole.Leader)?.pendingPromotion ?: return null
        if (change != MemberChange.Promote(pending.replica)) return null
        return ReplicaRefusal.ChangeInProgress("${pending.replica} waits for its promotion")
    }

    private fun append(state: ReplicaState, requestId: Long, change: MemberChange, nowMillis: Long): ReplicaStep {
        val members = membersAfter(state.log.members, change)
        return LeaderReplication.appendAndSend(state, requestId, EntryPayload.MembersChange(members), nowMillis)
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
