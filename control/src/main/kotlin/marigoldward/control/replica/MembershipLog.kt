package marigoldward.control.replica

import marigoldward.core.model.DataCentre
import marigoldward.core.replication.MemberChange
import marigoldward.core.replication.Members
import marigoldward.core.replication.MembershipPlanner
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaRefusal
import marigoldward.core.replication.ReplicaRole
import marigoldward.core.replication.ReplicaState
import marigoldward.support.log.EventLog

/**
 * Logs the changes of members: what the leader decides and why, how each decision ends, and which members each replica
 * knows. A refusal that is repeated is logged once in [REFUSAL_PERIOD_MILLIS]. Used by the replica's thread only.
 */
internal class MembershipLog {
    private var lastRefusal: Refusal? = null
    private var lastRefusalMillis = 0L

    private data class Refusal(val change: MemberChange, val reason: String)

    /** A change of members that a leader has decided on, with what the decision was made from. */
    class Decision(
        val change: MemberChange,
        val state: ReplicaState,
        val joining: List<MembershipPlanner.JoiningReplica>,
        val decidedMillis: Long,
    )

    /** The entry of [decision] was appended to the log at [index]. */
    fun onAccepted(decision: Decision, index: Long) {
        log.info("member_change_started") {
            field("self", decision.state.self)
            field("change", decision.change.label)
            field("replica", decision.change.replica)
            field("term", decision.state.hardState.term)
            field("index", index)
            field("commit_index", decision.state.commitIndex)
            field("voters", decision.state.log.members.voters.joinToString(","))
            field("learners", decision.state.log.members.learners.joinToString(","))
            field("joining", decision.joining.joinToString(",") { "${it.replica}" })
            field("silent_ms", silences(decision))
            field("match_indexes", progress(decision).joinToString(",") { (id, value) -> "$id:${value.matchIndex}" })
        }
    }

    /** [decision] ended with [outcome] at [nowMillis]. */
    fun onEnded(decision: Decision, outcome: String, nowMillis: Long) {
        log.info("member_change_ended") {
            field("self", decision.state.self)
            field("change", decision.change.label)
            field("replica", decision.change.replica)
            field("outcome", outcome)
            field("took_ms", nowMillis - decision.decidedMillis)
        }
    }

    /** [decision] was refused at [nowMillis], for [refusal]. The leader decides again at its next tick. */
    fun onRefused(decision: Decision, refusal: ReplicaRefusal, nowMillis: Long) {
        val refused = Refusal(decision.change, refusal.toString())
        if (refused == lastRefusal && nowMillis - lastRefusalMillis < REFUSAL_PERIOD_MILLIS) return
        lastRefusal = refused
        lastRefusalMillis = nowMillis
        log.info("member_change_refused") {
            field("self", decision.state.self)
            field("change", decision.change.label)
            field("replica", decision.change.replica)
            field("term", decision.state.hardState.term)
            field("reason", refused.reason)
            field("silent_ms", silences(decision))
        }
    }

    /** The members in the log of [state] differ from those before: they were appended, replaced or taken back. */
    fun onMembersKnown(state: ReplicaState) {
        logMembers("members_known", state, state.log.members, state.log.membersIndex)
    }

    /** The entry at [index], which sets [members], is committed. */
    fun onMembersCommitted(state: ReplicaState, members: Members, index: Long) {
        logMembers("members_committed", state, members, index)
    }

    /** [replica] waits to join; it was not known to wait before. */
    fun onJoinReceived(state: ReplicaState, replica: ReplicaId, dataCentre: DataCentre?) {
        log.info("join_received") {
            field("self", state.self)
            field("leads", state.isLeader)
            field("replica", replica)
            field("data_centre", dataCentre)
            field("is_member", replica in state.log.members.all)
        }
    }

    private fun logMembers(event: String, state: ReplicaState, members: Members, index: Long) {
        log.info(event) {
            field("self", state.self)
            field("own_role", roleIn(members, state.self))
            field("index", index)
            field("term", state.hardState.term)
            field("leader", state.leaderOrNull)
            field("voters", members.voters.joinToString(","))
            field("learners", members.learners.joinToString(","))
        }
    }

    private fun roleIn(members: Members, replica: ReplicaId): String = when (replica) {
        in members.voters -> "voter"
        in members.learners -> "learner"
        else -> "none"
    }

    private fun silences(decision: Decision): String = progress(decision).joinToString(",") { (id, value) ->
        "$id:${decision.decidedMillis - value.lastReplyMillis}"
    }

    private fun progress(decision: Decision): List<Pair<ReplicaId, ReplicaRole.Progress>> =
        (decision.state.role as? ReplicaRole.Leader)?.progress.orEmpty().toList()

    private val MemberChange.label: String
        get() = when (this) {
            is MemberChange.AddLearner -> "add_learner"
            is MemberChange.Promote -> "promote"
            is MemberChange.Remove -> "remove"
        }

    private val MemberChange.replica: ReplicaId
        get() = when (this) {
            is MemberChange.AddLearner -> replica
            is MemberChange.Promote -> replica
            is MemberChange.Remove -> replica
        }

    private companion object {
        const val REFUSAL_PERIOD_MILLIS = 5_000L
        val log = EventLog.fromName("membership")
    }
}
