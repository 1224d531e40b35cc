package marigoldward.core.replication

import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

/**
 * Which change of members a leader should make next, without an operator.
 *
 * A replica that lost its disk is replaced by its new incarnation; a voter that has been silent for
 * [replaceAfterMillis] is replaced by a newcomer, if one waits; newcomers are taken in until there are [targetVoters].
 * The replica itself still refuses a change that would put the quorum at risk.
 *
 * @property targetVoters the number of voters to reach; odd
 * @property replaceAfterMillis the silence after which a voter counts as gone, in milliseconds; longer than a restart
 * or a cut that the voters can sit out
 */
public data class MembershipPlanner(val targetVoters: Int, val replaceAfterMillis: Long) {
    /** A replica that waits to be taken in. */
    public data class Newcomer(val replica: ReplicaId, val dataCentre: DataCentre)

    /**
     * Returns the next change, or null if the members are as they should be or [state] does not lead.
     *
     * @param newcomers the replicas that announced themselves lately and are no members
     * @param dataCentres where the members are, as far as is known
     */
    public fun nextChangeOrNull(
        state: ReplicaState,
        newcomers: List<Newcomer>,
        dataCentres: Map<InstanceId, DataCentre>,
        nowMillis: Long,
    ): MemberChange? {
        val role = state.role as? ReplicaRole.Leader ?: return null
        val members = state.log.members
        val learner = members.learners.firstOrNull()
        val silent = members.voters.filter { isSilent(state.self, role, it, nowMillis) }
        return if (learner == null) {
            admissionOrNull(members, newcomers, silent, dataCentres)?.let(MemberChange::AddLearner)
        } else {
            val isGone = isSilent(state.self, role, learner, nowMillis) || isReplaced(learner, newcomers)
            learnerChange(members, learner, silent, isGone)
        }
    }

    private fun learnerChange(
        members: Members,
        learner: ReplicaId,
        silent: List<ReplicaId>,
        isLearnerGone: Boolean,
    ): MemberChange? {
        val replaced = members.voterOrNull(learner.name)
        return when {
            isLearnerGone -> MemberChange.Remove(learner)
            replaced != null -> MemberChange.Remove(replaced)
            members.voters.size < targetVoters -> MemberChange.Promote(learner)
            silent.isNotEmpty() -> MemberChange.Remove(silent.first())
            else -> MemberChange.Remove(learner)
        }
    }

    private fun isReplaced(learner: ReplicaId, newcomers: List<Newcomer>): Boolean =
        newcomers.any { it.replica.name == learner.name && it.replica != learner }

    private fun admissionOrNull(
        members: Members,
        newcomers: List<Newcomer>,
        silent: List<ReplicaId>,
        dataCentres: Map<InstanceId, DataCentre>,
    ): ReplicaId? {
        val candidates = newcomers.filter { it.replica !in members.all }
        val returned = candidates.firstOrNull { members.voterOrNull(it.replica.name) != null }
        if (returned != null) return returned.replica
        if (members.voters.size >= targetVoters && silent.isEmpty()) return null
        val remaining = members.voters - silent.toSet()
        return candidates
            .minWithOrNull(
                compareBy(
                    { newcomer -> remaining.count { dataCentres[it.name] == newcomer.dataCentre } },
                    { it.replica.name.text },
                ),
            )?.replica
    }

    private fun isSilent(self: ReplicaId, role: ReplicaRole.Leader, member: ReplicaId, nowMillis: Long): Boolean {
        if (member == self) return false
        val heardMillis = role.progress[member]?.heardMillis ?: return false
        return nowMillis - heardMillis >= replaceAfterMillis
    }

    /** Creates planners. */
    public companion object {
        private const val MAX_VOTERS = 7
        private const val VOTERS_PER_LOSS = 2

        /** How long a voter may be silent before it is replaced: a restart and the catching up after it, twice. */
        private const val REPLACE_AFTER_MILLIS = 10_000L

        /** Returns the planner for a cluster that has to bear the loss of [lostReplicas] replicas at once. */
        public fun forLosses(lostReplicas: Int): MembershipPlanner =
            MembershipPlanner(minOf(MAX_VOTERS, VOTERS_PER_LOSS * lostReplicas + 1), REPLACE_AFTER_MILLIS)
    }
}
