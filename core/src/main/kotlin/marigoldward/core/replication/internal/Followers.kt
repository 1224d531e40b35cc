package marigoldward.core.replication.internal

import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.ReplicaAction
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaLog
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicaRole
import marigoldward.core.replication.ReplicaState
import marigoldward.core.replication.ReplicaStep
import marigoldward.core.replication.unchanged
import marigoldward.core.replication.with
import marigoldward.core.replication.withElectionDeadline

/** How a replica takes what its leader sends. */
internal object Followers {
    fun append(state: ReplicaState, from: ReplicaId, append: ReplicaMessage.Append, nowMillis: Long): ReplicaStep {
        if (append.term < state.hardState.term) return reply(state, from, accepted = false, 0, append.round)
        val follower = follow(state, from, nowMillis)
        val log = follower.log
        if (append.previousIndex > log.lastIndex) {
            return reply(follower, from, accepted = false, log.lastIndex, append.round)
        }
        val previousTerm = log.termAtOrNull(append.previousIndex)
        if (previousTerm != null && previousTerm != append.previousTerm) {
            val hint = maxOf(append.previousIndex - 1, follower.commitIndex)
            return reply(follower, from, accepted = false, hint, append.round)
        }
        return store(follower, from, append, nowMillis)
    }

    fun install(state: ReplicaState, from: ReplicaId, install: ReplicaMessage.Install, nowMillis: Long): ReplicaStep {
        if (install.term < state.hardState.term) return reply(state, from, accepted = false, 0, install.round)
        val follower = follow(state, from, nowMillis)
        val point = install.snapshot.point
        if (point.index <= follower.commitIndex) {
            return reply(follower, from, accepted = true, follower.commitIndex, install.round)
        }
        val restored = follower.copy(log = ReplicaLog.fromEntries(point, emptyList()), commitIndex = point.index)
        val persisted = restored.with(ReplicaAction.PersistSnapshot(install.snapshot))
        return persisted.then { reply(it, from, accepted = true, point.index, install.round) }
    }

    private fun follow(state: ReplicaState, leader: ReplicaId, nowMillis: Long): ReplicaState {
        check(!state.isLeader) { "${state.self} and $leader both lead in term ${state.hardState.term}" }
        return state
            .withElectionDeadline(nowMillis)
            .copy(role = ReplicaRole.Follower(leader), leaderHeardMillis = nowMillis)
    }

    private fun store(
        state: ReplicaState,
        from: ReplicaId,
        append: ReplicaMessage.Append,
        nowMillis: Long,
    ): ReplicaStep {
        val fresh = append.entries.dropWhile { isKnown(state.log, it) }
        val stored = if (fresh.isEmpty()) state else state.copy(log = replaceTail(state, fresh))
        val persist = if (fresh.isEmpty()) emptyList() else listOf(ReplicaAction.PersistEntries(fresh))
        val matchIndex = append.previousIndex + append.entries.size
        val commitIndex = minOf(append.commitIndex, matchIndex)
        return ReplicaStep(stored, persist)
            .then { commit(it, commitIndex) }
            .then { noteCurrent(it, append.commitIndex, nowMillis) }
            .then { reply(it, from, accepted = true, matchIndex, append.round) }
    }

    private fun noteCurrent(state: ReplicaState, leaderCommitIndex: Long, nowMillis: Long): ReplicaStep {
        if (state.commitIndex < leaderCommitIndex) return state.unchanged()
        return state.copy(currentMillis = nowMillis).unchanged()
    }

    private fun isKnown(log: ReplicaLog, entry: LogEntry): Boolean =
        entry.index <= log.start.index || log.termAtOrNull(entry.index) == entry.term

    private fun replaceTail(state: ReplicaState, fresh: List<LogEntry>): ReplicaLog {
        val first = fresh.first().index
        check(first > state.commitIndex) { "${state.self} would lose the committed entry $first" }
        val kept = if (first <= state.log.lastIndex) state.log.truncatedFrom(first) else state.log
        return fresh.fold(kept) { log, entry -> log.plus(entry) }
    }

    private fun reply(
        state: ReplicaState,
        to: ReplicaId,
        accepted: Boolean,
        matchIndex: Long,
        round: Long,
    ): ReplicaStep {
        val reply = ReplicaMessage.AppendReply(state.hardState.term, accepted, matchIndex, round)
        return state.with(ReplicaAction.Send(to, reply))
    }

    /** Moves the commit index up to [index] and hands out the entries in between. */
    fun commit(state: ReplicaState, index: Long): ReplicaStep {
        if (index <= state.commitIndex) return ReplicaStep(state, emptyList())
        val entries = state.log.slice(state.commitIndex + 1, index)
        return state.copy(commitIndex = index).with(ReplicaAction.Commit(entries))
    }
}
