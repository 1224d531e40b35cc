package marigoldward.core.replication.internal

import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.ReplicaAction
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaLog
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicaRole
import marigoldward.core.replication.ReplicaState
import marigoldward.core.replication.ReplicaStep
import marigoldward.core.replication.withActions
import marigoldward.core.replication.withElectionDeadline
import marigoldward.core.replication.withoutActions

/** Handling of the entries and snapshots that a leader sends. */
internal object FollowerReplication {
    fun handleAppend(
        state: ReplicaState,
        from: ReplicaId,
        append: ReplicaMessage.Append,
        nowMillis: Long,
    ): ReplicaStep {
        if (append.term < state.hardState.term) return reply(state, from, accepted = false, 0, append.round)
        val follower = acceptLeader(state, from, nowMillis)
        val log = follower.log
        if (append.previousIndex > log.lastIndex) {
            return reply(follower, from, accepted = false, log.lastIndex, append.round)
        }
        val previousTerm = log.termAtOrNull(append.previousIndex)
        if (previousTerm != null && previousTerm != append.previousTerm) {
            val possibleMatchIndex = maxOf(append.previousIndex - 1, follower.commitIndex)
            return reply(follower, from, accepted = false, possibleMatchIndex, append.round)
        }
        return storeEntries(follower, from, append, nowMillis)
    }

    fun handleInstall(
        state: ReplicaState,
        from: ReplicaId,
        install: ReplicaMessage.Install,
        nowMillis: Long,
    ): ReplicaStep {
        if (install.term < state.hardState.term) return reply(state, from, accepted = false, 0, install.round)
        val follower = acceptLeader(state, from, nowMillis)
        val point = install.snapshot.point
        if (point.index <= follower.commitIndex) {
            return reply(follower, from, accepted = true, follower.commitIndex, install.round)
        }
        if (follower.log.termAtOrNull(point.index) == point.term) {
            // The log holds all that the snapshot covers, and entries after it that the leader may have counted.
            return advanceCommitIndex(follower, point.index)
                .then { reply(it, from, accepted = true, point.index, install.round) }
        }
        val restored = follower.copy(log = ReplicaLog.fromEntries(point, emptyList()), commitIndex = point.index)
        val persisted = restored.withActions(ReplicaAction.PersistSnapshot(install.snapshot))
        return persisted.then { reply(it, from, accepted = true, point.index, install.round) }
    }

    private fun acceptLeader(state: ReplicaState, leader: ReplicaId, nowMillis: Long): ReplicaState {
        check(!state.isLeader) { "${state.self} and $leader are both leaders in term ${state.hardState.term}" }
        return state
            .withElectionDeadline(nowMillis)
            .copy(role = ReplicaRole.Follower(leader), lastLeaderContactMillis = nowMillis)
    }

    private fun storeEntries(
        state: ReplicaState,
        from: ReplicaId,
        append: ReplicaMessage.Append,
        nowMillis: Long,
    ): ReplicaStep {
        val newEntries = append.entries.dropWhile { isStored(state.log, it) }
        val stored = if (newEntries.isEmpty()) state else state.copy(log = replaceTail(state, newEntries))
        val persist = if (newEntries.isEmpty()) emptyList() else listOf(ReplicaAction.PersistEntries(newEntries))
        val matchIndex = append.previousIndex + append.entries.size
        val commitIndex = minOf(append.commitIndex, matchIndex)
        return ReplicaStep(stored, persist)
            .then { advanceCommitIndex(it, commitIndex) }
            .then { markIfCaughtUp(it, append.commitIndex, nowMillis) }
            .then { reply(it, from, accepted = true, matchIndex, append.round) }
    }

    private fun markIfCaughtUp(state: ReplicaState, leaderCommitIndex: Long, nowMillis: Long): ReplicaStep {
        if (state.commitIndex < leaderCommitIndex) return state.withoutActions()
        return state.copy(caughtUpMillis = nowMillis).withoutActions()
    }

    private fun isStored(log: ReplicaLog, entry: LogEntry): Boolean =
        entry.index <= log.snapshotPoint.index || log.termAtOrNull(entry.index) == entry.term

    private fun replaceTail(state: ReplicaState, newEntries: List<LogEntry>): ReplicaLog {
        val first = newEntries.first().index
        check(first > state.commitIndex) { "${state.self} would overwrite the committed entry $first" }
        val kept = if (first <= state.log.lastIndex) state.log.truncatedFrom(first) else state.log
        return newEntries.fold(kept) { log, entry -> log.plus(entry) }
    }

    private fun reply(
        state: ReplicaState,
        to: ReplicaId,
        accepted: Boolean,
        matchIndex: Long,
        round: Long,
    ): ReplicaStep {
        val reply = ReplicaMessage.AppendReply(state.hardState.term, accepted, matchIndex, round)
        return state.withActions(ReplicaAction.Send(to, reply))
    }

    /** Raises the commit index to [index] if it is lower, and commits the entries up to there. */
    fun advanceCommitIndex(state: ReplicaState, index: Long): ReplicaStep {
        if (index <= state.commitIndex) return ReplicaStep(state, emptyList())
        val entries = state.log.slice(state.commitIndex + 1, index)
        return state.copy(commitIndex = index).withActions(ReplicaAction.Commit(entries))
    }
}
