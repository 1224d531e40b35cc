package marigoldward.core.replication

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

/**
 * Plans the changes of members that a leader makes without an operator.
 *
 * - A replica that lost its disk is replaced by its new incarnation.
 * - A voter that hasn't replied for [replaceAfterMillis] is replaced by a joining replica, if there is one. It is
 *   removed only once the other one votes: it may come back with its disk, and until then each disk of a quorum counts.
 * - Joining replicas are added until there are [targetVoters] voters.
 *
 * The planner doesn't check whether a change is safe: [Replica.step] refuses changes that put the quorum at risk.
 *
 * @property targetVoters the intended number of voters; odd
 * @property replaceAfterMillis how long a voter may be silent before it is replaced, in milliseconds; a silent voter that
 * isn't replaced counts as failed, so that the cluster tolerates one failure less
 */
public data class MembershipPlanner(val targetVoters: Int, val replaceAfterMillis: Long) {
    /** A replica that has asked to become a member. */
    public data class JoiningReplica(val replica: ReplicaId, val dataCentre: DataCentre)

    /**
     * Returns the next change to make, or null if none is needed or [state] is not that of a leader.
     *
     * @param joining the replicas that have recently asked to join and are not members
     * @param dataCentres the known data centres of the members
     */
    public fun nextChangeOrNull(
        state: ReplicaState,
        joining: List<JoiningReplica>,
        dataCentres: Map<InstanceId, DataCentre>,
        nowMillis: Long,
    ): MemberChange? {
        val role = state.role as? ReplicaRole.Leader ?: return null
        val members = state.log.members
        val learner = members.learners.firstOrNull()
        val silentVoters = members.voters.filter { isSilent(state.self, role, it, nowMillis) }
        return when {
            learner != null -> {
                val isLearnerLost =
                    isSilent(state.self, role, learner, nowMillis) || hasOtherIncarnation(learner, joining)
                nextLearnerChange(members, learner, silentVoters, isLearnerLost)
            }
            hasVoterTooMany(members) -> longestSilentVoterOrNull(members, role)?.let(MemberChange::Remove)
            else -> replicaToAddOrNull(members, joining, silentVoters, dataCentres)?.let(MemberChange::AddLearner)
        }
    }

    private fun hasVoterTooMany(members: Members): Boolean =
        members.voters.size > targetVoters && members.toleratesRemoval

    private fun longestSilentVoterOrNull(members: Members, role: ReplicaRole.Leader): ReplicaId? =
        role.progress.filterKeys { it in members.voters }.minByOrNull { it.value.lastReplyMillis }?.key

    private fun nextLearnerChange(
        members: Members,
        learner: ReplicaId,
        silentVoters: List<ReplicaId>,
        isLearnerLost: Boolean,
    ): MemberChange? {
        val oldIncarnation = members.voterOrNull(learner.name)
        return when {
            isLearnerLost -> MemberChange.Remove(learner)
            oldIncarnation != null -> MemberChange.Remove(oldIncarnation)
            members.voters.size < targetVoters -> MemberChange.Promote(learner)
            silentVoters.isEmpty() -> MemberChange.Remove(learner)
            hasVoterTooMany(members) -> MemberChange.Remove(silentVoters.first())
            else -> MemberChange.Promote(learner)
        }
    }

    private fun hasOtherIncarnation(learner: ReplicaId, joining: List<JoiningReplica>): Boolean =
        joining.any { it.replica.name == learner.name && it.replica != learner }

    /** Prefers a new incarnation of a voter, then a replica in the data centre with the fewest live voters. */
    private fun replicaToAddOrNull(
        members: Members,
        joining: List<JoiningReplica>,
        silentVoters: List<ReplicaId>,
        dataCentres: Map<InstanceId, DataCentre>,
    ): ReplicaId? {
        val candidates = joining.filter { it.replica !in members.all }
        val newIncarnation = candidates.firstOrNull { members.voterOrNull(it.replica.name) != null }
        if (newIncarnation != null) return newIncarnation.replica
        if (members.voters.size >= targetVoters && silentVoters.isEmpty()) return null
        val liveVoters = members.voters - silentVoters.toSet()
        return candidates
            .minWithOrNull(
                compareBy(
                    { candidate -> liveVoters.count { dataCentres[it.name] == candidate.dataCentre } },
                    { it.replica.name.text },
                ),
            )?.replica
    }

    private fun isSilent(self: ReplicaId, role: ReplicaRole.Leader, member: ReplicaId, nowMillis: Long): Boolean {
        if (member == self) return false
        val lastReplyMillis = role.progress[member]?.lastReplyMillis ?: return false
        return nowMillis - lastReplyMillis >= replaceAfterMillis
    }

    /** Creates planners. */
    public companion object {
        private const val MAX_VOTERS = 7
        private const val VOTERS_PER_FAILURE = 2

        /** The other half of the catch-up time is left for an election and for the changes of members. */
        private const val CATCH_UP_TIME_DIVISOR = 2

        /**
         * Returns the planner for a cluster that stays available when [failures] replicas fail at the same time.
         *
         * The number of voters is limited to seven, which tolerates three failures.
         *
         * @param catchUpMillis the time from the start of a new replica after which it has to be a voter in the place
         * of a lost one, since another replica may fail then, in milliseconds
         */
        public fun forToleratedFailures(failures: Int, catchUpMillis: Long): MembershipPlanner = MembershipPlanner(
            targetVoters = minOf(MAX_VOTERS, VOTERS_PER_FAILURE * failures + 1),
            replaceAfterMillis = catchUpMillis / CATCH_UP_TIME_DIVISOR,
        )
    }
}
