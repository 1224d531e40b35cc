package marigoldward.control.replica

import marigoldward.control.storage.ReplicaStorage
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.MembershipPlanner
import marigoldward.core.replication.Replica
import marigoldward.core.replication.ReplicaAction
import marigoldward.core.replication.ReplicaEvent
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaLog
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicaState
import marigoldward.core.replication.ReplicationTiming
import marigoldward.core.replication.Snapshot
import marigoldward.core.replication.SnapshotPoint
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.io.IOException

/**
 * Applies batches of events to the replica, on one thread.
 *
 * The changes of a whole batch are persisted with one sync before any other of its actions is executed. A batch that
 * can't be persisted is rolled back: the replica continues from the state before it.
 */
internal class ReplicaDuty(
    private val storage: ReplicaStorage,
    timing: ReplicationTiming,
    seed: Long,
    private val outputs: Outputs,
    planner: MembershipPlanner? = null,
) {
    /** Receives what the replica passes to other threads. Called on the replica's thread. */
    interface Outputs {
        fun send(to: ReplicaId, message: ReplicaMessage)

        /** The control state is [state] as of log entry [index]. */
        fun onStateChanged(state: ControlState, index: Long)
    }

    private val recovered = storage.recovered
    private var replica =
        ReplicaState.fromDisk(
            self = storage.replica,
            timing = timing,
            hardState = recovered.hardState,
            log = ReplicaLog.fromEntries(recovered.snapshot.point, recovered.entries),
            nowMillis = MonotonicClock.nowMillis(),
            seed = seed,
        )
    private var controlState = recovered.snapshot.state
    private var appliedIndex = recovered.snapshot.point.index
    private var isDiskWritable = true

    /** Whether the log on disk may differ from that of the replica, as a write has failed and was not rolled back whole. */
    private var isLogOutdated = false
    private val pending = PendingRequests()
    private val membershipLog = MembershipLog()
    private val requestHandler = RequestHandler(pending, planner, membershipLog) { controlState }

    /** The status as of the last batch; may be read by any thread. */
    @Volatile
    var status: PublishedStatus = publishedStatus()
        private set

    init {
        outputs.onStateChanged(controlState, appliedIndex)
    }

    /** Handles one batch of events. */
    fun handle(events: List<ReplicaDutyEvent>) {
        val before = replica
        val nowMillis = MonotonicClock.nowMillis()
        val actions = ArrayList<ReplicaAction>()
        val requestIds = ArrayList<Long>()
        events.forEach { event ->
            requestHandler.toReplicaEvents(event, view(), nowMillis).forEach { requested ->
                requested.requestId?.let(requestIds::add)
                val step = Replica.step(replica, requested.event, nowMillis)
                replica = step.state
                actions.addAll(step.actions)
            }
        }
        if (persist(actions, before.log)) {
            if (replica.log.members != before.log.members) membershipLog.onMembersKnown(replica)
            actions.forEach(::execute)
            takeSnapshotIfDue()
        } else {
            replica = stepDownAfterFailure(before, nowMillis)
            pending.onRolledBack(requestIds, "the disk does not take writes")
        }
        status = publishedStatus()
        updateMetrics()
    }

    private fun publishedStatus(): PublishedStatus {
        val nowMillis = MonotonicClock.nowMillis()
        return PublishedStatus(
            leader = replica.leaderOrNull?.name,
            isLeader = replica.isLeader,
            term = replica.hardState.term,
            members = replica.log.members.all.map { it.name },
            isMember = replica.self in replica.log.members.all,
            lastUpToDateMillis = nowMillis - replica.maxStalenessMillis(nowMillis),
        )
    }

    private fun view(): ReplicaView = ReplicaView(replica, controlState, appliedIndex, isDiskWritable)

    /** Persists what [actions] ask for, after [logBefore]. */
    private fun persist(actions: List<ReplicaAction>, logBefore: ReplicaLog): Boolean {
        val startMillis = MonotonicClock.nowMillis()
        val isPersisted =
            try {
                if (isLogOutdated && actions.any(::isWrite)) rewriteLog(logBefore)
                val hasEntries = actions.map(::persistOne).any { it }
                if (hasEntries) storage.sync()
                if (hasEntries) ReplicaMetrics.observeSync(MonotonicClock.nowMillis() - startMillis)
                true
            } catch (failure: IOException) {
                handleDiskFailure(failure)
                false
            }
        if (isPersisted && actions.any(::isWrite)) isDiskWritable = true
        return isPersisted
    }

    private fun isWrite(action: ReplicaAction): Boolean =
        action is ReplicaAction.PersistEntries || action is ReplicaAction.PersistHardState

    private fun rewriteLog(current: ReplicaLog) {
        storage.rewriteEntries(current.slice(current.snapshotPoint.index + 1, current.lastIndex))
        isLogOutdated = false
        log.info("log_rewritten") { field("last_index", current.lastIndex) }
    }

    /** Persists what [action] asks for, if anything, and returns whether it wrote log entries, which need a sync. */
    private fun persistOne(action: ReplicaAction): Boolean = when (action) {
        is ReplicaAction.PersistHardState -> {
            storage.writeHardState(action.hardState)
            false
        }
        is ReplicaAction.PersistEntries -> {
            storage.writeEntries(action.entries)
            true
        }
        is ReplicaAction.PersistSnapshot -> {
            storage.writeSnapshot(action.snapshot, emptyList())
            false
        }
        else -> false
    }

    private fun handleDiskFailure(failure: IOException) {
        isLogOutdated = true
        if (isDiskWritable) log.warn("disk_write_failed") { field("error", failure) }
        isDiskWritable = false
        try {
            storage.rollBack()
        } catch (rollBackFailure: IOException) {
            log.warn("disk_roll_back_failed") { field("error", rollBackFailure) }
        }
    }

    /** Returns the state to continue with after [before]; a leader resigns, because it can't write. */
    private fun stepDownAfterFailure(before: ReplicaState, nowMillis: Long): ReplicaState {
        if (!before.isLeader) return before
        val step = Replica.step(before, ReplicaEvent.Resign, nowMillis)
        step.actions.filter { it !is ReplicaAction.PersistHardState }.forEach(::execute)
        return step.state
    }

    private fun execute(action: ReplicaAction) {
        when (action) {
            is ReplicaAction.PersistHardState, is ReplicaAction.PersistEntries -> Unit
            is ReplicaAction.PersistSnapshot -> restore(action.snapshot)
            is ReplicaAction.Send -> outputs.send(action.to, action.message)
            is ReplicaAction.SendSnapshot ->
                outputs.send(action.to, ReplicaMessage.Install(action.term, storage.snapshot, action.round))
            is ReplicaAction.Commit -> action.entries.forEach(::apply)
            is ReplicaAction.Accepted -> pending.onAccepted(action.requestId, action.index)
            is ReplicaAction.Refused -> pending.onRefused(action.requestId, action.refusal)
            is ReplicaAction.LeadershipConfirmed -> pending.onConfirmed(action.requestId)
            ReplicaAction.LeadershipGained -> onLeadershipGained()
            ReplicaAction.LeadershipLost -> onLeadershipLost()
        }
    }

    private fun restore(snapshot: Snapshot) {
        controlState = snapshot.state
        appliedIndex = snapshot.point.index
        outputs.onStateChanged(controlState, appliedIndex)
        log.info("snapshot_installed") { field("index", appliedIndex) }
    }

    private fun apply(entry: LogEntry) {
        check(entry.index == appliedIndex + 1) { "entry ${entry.index} applied after entry $appliedIndex" }
        appliedIndex = entry.index
        val payload = entry.payload
        if (payload !is EntryPayload.Command) {
            if (payload is EntryPayload.MembersChange) {
                membershipLog.onMembersCommitted(replica, payload.members, entry.index)
            }
            pending.onCommitted(entry.index, ControlOutcome.Done)
            return
        }
        val applied = ControlStateMachine.apply(controlState, entry.index, payload.command)
        requestHandler.onApplied(payload.command, applied.outcome)
        val isChanged = applied.state !== controlState
        controlState = applied.state
        ReplicaMetrics.commands.inc()
        pending.onCommitted(entry.index, applied.outcome)
        if (isChanged) outputs.onStateChanged(controlState, appliedIndex)
    }

    private fun onLeadershipGained() {
        requestHandler.onLeadershipGained(MonotonicClock.nowMillis())
        ReplicaMetrics.elections.inc()
        log.info("leadership_gained") {
            field("replica", replica.self)
            field("term", replica.hardState.term)
        }
    }

    private fun onLeadershipLost() {
        pending.onLeadershipLost()
        log.info("leadership_lost") {
            field("replica", replica.self)
            field("term", replica.hardState.term)
        }
    }

    private fun takeSnapshotIfDue() {
        if (appliedIndex - storage.snapshot.point.index < SNAPSHOT_PERIOD_ENTRIES) return
        val term = checkNotNull(replica.log.termAtOrNull(appliedIndex)) { "entry $appliedIndex is not in the log" }
        val point = SnapshotPoint(appliedIndex, term, replica.log.membersAt(appliedIndex))
        val kept = replica.log.slice(appliedIndex + 1, replica.log.lastIndex)
        try {
            storage.writeSnapshot(Snapshot(point, controlState), kept)
        } catch (failure: IOException) {
            handleDiskFailure(failure)
            return
        }
        replica = Replica.step(replica, ReplicaEvent.SnapshotTaken(appliedIndex), MonotonicClock.nowMillis()).state
        log.info("snapshot_taken") { field("index", appliedIndex) }
    }

    private fun updateMetrics() {
        ReplicaMetrics.term.set(replica.hardState.term.toDouble())
        ReplicaMetrics.isLeader.set(if (replica.isLeader) 1.0 else 0.0)
        ReplicaMetrics.commitIndex.set(replica.commitIndex.toDouble())
        ReplicaMetrics.logEntries.set(replica.log.size.toDouble())
        ReplicaMetrics.diskWritable.set(if (isDiskWritable) 1.0 else 0.0)
        ReplicaMetrics.revision.set(controlState.revision.number.toDouble())
    }

    private companion object {
        const val SNAPSHOT_PERIOD_ENTRIES = 1_000L
        val log = EventLog.fromName("replica")
    }
}
