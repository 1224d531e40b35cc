package marigoldward.core.replication.internal

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.ReplicaAction
import marigoldward.core.replication.ReplicaEvent
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicaRefusal
import marigoldward.core.replication.ReplicaRole
import marigoldward.core.replication.ReplicaState
import marigoldward.core.replication.ReplicaStep
import marigoldward.core.replication.withActions
import marigoldward.core.replication.withoutActions

/** Log replication, leadership checks and quorum checks of a leader. */
internal object LeaderReplication {
    private const val MAX_APPEND_ENTRIES = 64
    private const val MAX_APPEND_BYTES = 1_048_576L

    fun becomeLeader(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val others = state.log.members.all - state.self
        val progress = others.associateWith { initialProgress(state, it, nowMillis) }.toPersistentMap()
        val role = ReplicaRole.Leader(progress, 0, nowMillis + state.timing.heartbeatMillis, persistentListOf())
        val leader = state.copy(role = role).withActions(ReplicaAction.LeadershipGained)
        return leader
            .then { append(it, EntryPayload.Noop) }
            .then { startRound(it, nowMillis) }
            .then(::commitReplicatedEntries)
    }

    fun tick(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val role = state.role as ReplicaRole.Leader
        val responding =
            role.progress.filterValues { nowMillis - it.lastReplyMillis < state.timing.electionTimeoutMillis }.keys
        val members = state.log.members
        return when {
            !members.isQuorum(responding + state.self) -> LeaderElection.stepDown(state, nowMillis)
            nowMillis >= role.nextHeartbeatMillis -> startRound(state, nowMillis)
            else -> state.withoutActions()
        }
    }

    fun propose(state: ReplicaState, event: ReplicaEvent.Propose, nowMillis: Long): ReplicaStep {
        if (!state.isLeader) {
            val refusal = ReplicaRefusal.NotLeader(state.leaderOrNull)
            return state.withActions(ReplicaAction.Refused(event.requestId, refusal))
        }
        return appendAndSend(state, event.requestId, EntryPayload.Command(event.command), nowMillis)
    }

    /** Appends an entry with [payload] for the request [requestId] and sends it to the other members. */
    fun appendAndSend(state: ReplicaState, requestId: Long, payload: EntryPayload, nowMillis: Long): ReplicaStep =
        append(state, payload)
            .then { it.withActions(ReplicaAction.Accepted(requestId, it.log.lastIndex, it.hardState.term)) }
            .then { updateTrackedMembers(it, nowMillis) }
            .then(::sendNextEntriesToAll)
            .then(::commitReplicatedEntries)

    fun confirmLeadership(state: ReplicaState, event: ReplicaEvent.ConfirmLeadership, nowMillis: Long): ReplicaStep {
        val role = state.role
        if (role !is ReplicaRole.Leader) {
            val refusal = ReplicaRefusal.NotLeader(state.leaderOrNull)
            return state.withActions(ReplicaAction.Refused(event.requestId, refusal))
        }
        if (!hasCommittedInTerm(state)) {
            return state.withActions(ReplicaAction.Refused(event.requestId, ReplicaRefusal.NotReady))
        }
        val read = ReplicaRole.PendingRead(event.requestId, role.round + 1)
        val updated = state.copy(role = role.copy(pendingReads = role.pendingReads.add(read)))
        return startRound(updated, nowMillis).then(::confirmPendingReads)
    }

    fun handleAppendReply(
        state: ReplicaState,
        from: ReplicaId,
        reply: ReplicaMessage.AppendReply,
        nowMillis: Long,
    ): ReplicaStep {
        val role = state.role
        if (role !is ReplicaRole.Leader || reply.term != state.hardState.term) return state.withoutActions()
        val previous = role.progress[from] ?: return state.withoutActions()
        val replied =
            previous.copy(
                lastReplyMillis = nowMillis,
                acknowledgedRound = maxOf(previous.acknowledgedRound, reply.round),
            )
        val progress = if (reply.accepted) withMatchIndex(replied, reply) else withLowerNextIndex(replied, reply)
        val updated = state.copy(role = role.copy(progress = role.progress.put(from, progress)))
        return commitReplicatedEntries(updated)
            .then(::confirmPendingReads)
            .then { if (progress.nextIndex <= it.log.lastIndex) sendNextEntries(it, from) else it.withoutActions() }
            .then { stepDownIfRemoved(it, nowMillis) }
    }

    /** Refuses what waits for replies to this leader, which steps down. */
    fun rejectPending(role: ReplicaRole.Leader): List<ReplicaAction> {
        val requestIds = role.pendingReads.map { it.requestId } + listOfNotNull(role.pendingPromotion?.requestId)
        return requestIds.map { ReplicaAction.Refused(it, ReplicaRefusal.NotLeader(null)) }
    }

    fun hasCommittedInTerm(state: ReplicaState): Boolean =
        state.log.termAtOrNull(state.commitIndex) == state.hardState.term

    private fun withMatchIndex(
        progress: ReplicaRole.Progress,
        reply: ReplicaMessage.AppendReply,
    ): ReplicaRole.Progress {
        val matchIndex = maxOf(progress.matchIndex, reply.matchIndex)
        return progress.copy(matchIndex = matchIndex, nextIndex = maxOf(progress.nextIndex, matchIndex + 1))
    }

    private fun withLowerNextIndex(
        progress: ReplicaRole.Progress,
        reply: ReplicaMessage.AppendReply,
    ): ReplicaRole.Progress =
        progress.copy(nextIndex = maxOf(progress.matchIndex, minOf(reply.matchIndex, progress.nextIndex - 1)) + 1)

    /**
     * Counts a member that has voted for this leader as having replied now. Any other one may have been silent since
     * the last contact with a leader, which may have been that member.
     */
    private fun initialProgress(state: ReplicaState, member: ReplicaId, nowMillis: Long): ReplicaRole.Progress {
        val votes = (state.role as? ReplicaRole.Candidate)?.votes.orEmpty()
        val hadLeader = state.lastLeaderContactMillis != ReplicaState.NEVER_MILLIS
        val lastReplyMillis =
            if (member in votes || !hadLeader) nowMillis else minOf(nowMillis, state.lastLeaderContactMillis)
        return ReplicaRole.Progress(0, state.log.lastIndex + 1, lastReplyMillis, 0)
    }

    private fun append(state: ReplicaState, payload: EntryPayload): ReplicaStep {
        val entry = LogEntry(state.log.lastIndex + 1, state.hardState.term, payload)
        return state.copy(log = state.log.plus(entry)).withActions(ReplicaAction.PersistEntries(listOf(entry)))
    }

    /** Adds new members to the tracked progress and drops removed ones. */
    private fun updateTrackedMembers(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val role = state.role as ReplicaRole.Leader
        val others = state.log.members.all - state.self
        if (others == role.progress.keys) return state.withoutActions()
        val initial = ReplicaRole.Progress(0, state.log.lastIndex + 1, nowMillis, 0)
        val progress = others.associateWith { role.progress[it] ?: initial }.toPersistentMap()
        return state.copy(role = role.copy(progress = progress)).withoutActions()
    }

    /** Starts a new round, in which each other member is sent its next entries, or a heartbeat if there are none. */
    fun startRound(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val role = state.role as ReplicaRole.Leader
        val next = role.copy(round = role.round + 1, nextHeartbeatMillis = nowMillis + state.timing.heartbeatMillis)
        return sendNextEntriesToAll(state.copy(role = next))
    }

    private fun sendNextEntriesToAll(state: ReplicaState): ReplicaStep {
        val role = state.role as ReplicaRole.Leader
        return role.progress.keys.fold(state.withoutActions()) { step, member ->
            step.then { sendNextEntries(it, member) }
        }
    }

    private fun sendNextEntries(state: ReplicaState, to: ReplicaId): ReplicaStep {
        val role = state.role as ReplicaRole.Leader
        val progress = role.progress.getValue(to)
        val previousIndex = progress.nextIndex - 1
        val previousTerm = state.log.termAtOrNull(previousIndex)
            ?: return state.withActions(ReplicaAction.SendSnapshot(to, state.hardState.term, role.round))
        val entries = nextEntries(state, progress.nextIndex)
        val append =
            ReplicaMessage.Append(
                term = state.hardState.term,
                previousIndex = previousIndex,
                previousTerm = previousTerm,
                entries = entries,
                commitIndex = state.commitIndex,
                round = role.round,
            )
        val updatedProgress = progress.copy(nextIndex = progress.nextIndex + entries.size)
        val updated = state.copy(role = role.copy(progress = role.progress.put(to, updatedProgress)))
        return updated.withActions(ReplicaAction.Send(to, append))
    }

    /** Returns the entries from [first] on that fit into one message, but at least one if there is any. */
    private fun nextEntries(state: ReplicaState, first: Long): List<LogEntry> {
        val last = minOf(state.log.lastIndex, first + MAX_APPEND_ENTRIES - 1)
        val candidates = state.log.slice(first, last)
        var bytes = 0L
        val fitting = candidates.takeWhile { entry ->
            bytes += approximateBytes(entry)
            bytes <= MAX_APPEND_BYTES
        }
        return fitting.ifEmpty { candidates.take(1) }
    }

    private fun approximateBytes(entry: LogEntry): Long = when (val payload = entry.payload) {
        is EntryPayload.Command -> payload.command.approximateBytes
        is EntryPayload.MembersChange, EntryPayload.Noop -> 0
    }

    private fun commitReplicatedEntries(state: ReplicaState): ReplicaStep {
        val role = state.role as? ReplicaRole.Leader ?: return state.withoutActions()
        val voters = state.log.members.voters
        val matchIndexes =
            voters.map { if (it == state.self) state.log.lastIndex else role.progress[it]?.matchIndex ?: 0 }
        val quorumIndex = matchIndexes.sortedDescending()[state.log.members.quorumSize - 1]
        // An entry of an earlier term can still be overwritten although a quorum has it (section 5.4.2 of the Raft
        // paper). It is committed together with the first entry of the current term.
        val isFromCurrentTerm = state.log.termAtOrNull(quorumIndex) == state.hardState.term
        return if (isFromCurrentTerm) {
            FollowerReplication.advanceCommitIndex(state, quorumIndex)
        } else {
            state.withoutActions()
        }
    }

    private fun confirmPendingReads(state: ReplicaState): ReplicaStep {
        val role = state.role as? ReplicaRole.Leader ?: return state.withoutActions()
        if (role.pendingReads.isEmpty()) return state.withoutActions()
        val (confirmed, pending) = role.pendingReads.partition { read ->
            val acknowledged = role.progress.filterValues { it.acknowledgedRound >= read.round }.keys
            state.log.members.isQuorum(acknowledged + state.self)
        }
        val actions = confirmed.map { ReplicaAction.LeadershipConfirmed(it.requestId, state.commitIndex) }
        return ReplicaStep(state.copy(role = role.copy(pendingReads = pending.toPersistentList())), actions)
    }

    private fun stepDownIfRemoved(state: ReplicaState, nowMillis: Long): ReplicaStep {
        val isRemoved = !state.isVoter && state.commitIndex >= state.log.membersIndex
        return if (state.isLeader && isRemoved) LeaderElection.stepDown(state, nowMillis) else state.withoutActions()
    }
}
