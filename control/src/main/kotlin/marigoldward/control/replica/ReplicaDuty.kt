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
 * Runs the pure replica on one thread: events in, then everything to be persisted with one sync, then the rest.
 *
 * A batch that the disk does not take is undone: the replica goes on from the state before it.
 */
internal class ReplicaDuty(
    private val store: ReplicaStorage,
    timing: ReplicationTiming,
    seed: Long,
    private val outputs: Outputs,
    planner: MembershipPlanner? = null,
) {
    /** What the replica hands to other threads. */
    interface Outputs {
        fun send(to: ReplicaId, message: ReplicaMessage)

        fun stateChanged(state: ControlState, index: Long)
    }

    private val recovered = store.recovered
    private var replica =
        ReplicaState.fromDisk(
            self = store.replica,
            timing = timing,
            hardState = recovered.hardState,
            log = ReplicaLog.fromEntries(recovered.snapshot.point, recovered.entries),
            nowMillis = MonotonicClock.nowMillis(),
            seed = seed,
        )
    private var control = recovered.snapshot.state
    private var appliedIndex = recovered.snapshot.point.index
    private var isDiskWritable = true
    private val pending = PendingRequests()
    private val requests = RequestHandling(pending, planner) { control }

    /** What other threads may know of this replica. */
    @Volatile
    var published: PublishedStatus = toPublished()
        private set

    init {
        outputs.stateChanged(control, appliedIndex)
    }

    /** Handles one batch. */
    fun handle(events: List<ReplicaDutyEvent>) {
        val before = replica
        val nowMillis = MonotonicClock.nowMillis()
        val actions = ArrayList<ReplicaAction>()
        val numbers = ArrayList<Long>()
        events.forEach { event ->
            requests.toReplicaEvents(event, view(), nowMillis).forEach { requested ->
                requested.number?.let(numbers::add)
                val step = Replica.step(replica, requested.event, nowMillis)
                replica = step.state
                actions.addAll(step.actions)
            }
        }
        if (persist(actions)) {
            actions.forEach(::carryOut)
            takeSnapshotIfDue()
        } else {
            replica = stepDownAfterFailure(before, nowMillis)
            pending.withdraw(numbers, "the disk does not take writes")
        }
        published = toPublished()
        updateMetrics()
    }

    private fun toPublished(): PublishedStatus {
        val nowMillis = MonotonicClock.nowMillis()
        return PublishedStatus(
            leader = replica.leaderOrNull?.name,
            isLeader = replica.isLeader,
            members = replica.log.members.all.map { it.name },
            isMember = replica.self in replica.log.members.all,
            currentMillis = nowMillis - replica.maxStalenessMillis(nowMillis),
        )
    }

    private fun view(): ReplicaView = ReplicaView(replica, control, appliedIndex, isDiskWritable)

    private fun persist(actions: List<ReplicaAction>): Boolean {
        val startMillis = MonotonicClock.nowMillis()
        val written =
            try {
                val hasEntries = actions.map(::persistOne).any { it }
                if (hasEntries) store.sync()
                if (hasEntries) ReplicaMetrics.observeSync(MonotonicClock.nowMillis() - startMillis)
                true
            } catch (failure: IOException) {
                reportDisk(failure)
                false
            }
        if (written && actions.any(::isWrite)) isDiskWritable = true
        return written
    }

    private fun isWrite(action: ReplicaAction): Boolean =
        action is ReplicaAction.PersistEntries || action is ReplicaAction.PersistHardState

    private fun persistOne(action: ReplicaAction): Boolean = when (action) {
        is ReplicaAction.PersistHardState -> {
            store.writeHardState(action.hardState)
            false
        }
        is ReplicaAction.PersistEntries -> {
            store.writeEntries(action.entries)
            true
        }
        is ReplicaAction.PersistSnapshot -> {
            store.writeSnapshot(action.snapshot, emptyList())
            false
        }
        else -> false
    }

    private fun reportDisk(failure: IOException) {
        store.rollBack()
        if (isDiskWritable) log.warn("disk_write_failed") { field("error", failure) }
        isDiskWritable = false
    }

    /** Goes on from [before]; a leader lets another replica lead, since it can't write. */
    private fun stepDownAfterFailure(before: ReplicaState, nowMillis: Long): ReplicaState {
        if (!before.isLeader) return before
        val step = Replica.step(before, ReplicaEvent.Resign, nowMillis)
        step.actions.filter { it !is ReplicaAction.PersistHardState }.forEach(::carryOut)
        return step.state
    }

    private fun carryOut(action: ReplicaAction) {
        when (action) {
            is ReplicaAction.PersistHardState, is ReplicaAction.PersistEntries -> Unit
            is ReplicaAction.PersistSnapshot -> restore(action.snapshot)
            is ReplicaAction.Send -> outputs.send(action.to, action.message)
            is ReplicaAction.SendSnapshot ->
                outputs.send(action.to, ReplicaMessage.Install(action.term, store.snapshot, action.round))
            is ReplicaAction.Commit -> action.entries.forEach(::apply)
            is ReplicaAction.Accepted -> pending.accepted(action.requestId, action.index)
            is ReplicaAction.Refused -> pending.refused(action.requestId, action.refusal)
            is ReplicaAction.LeadershipConfirmed -> pending.confirmed(action.requestId)
            ReplicaAction.LeadershipGained -> leadershipGained()
            ReplicaAction.LeadershipLost -> leadershipLost()
        }
    }

    private fun restore(snapshot: Snapshot) {
        control = snapshot.state
        appliedIndex = snapshot.point.index
        outputs.stateChanged(control, appliedIndex)
        log.info("snapshot_installed") { field("index", appliedIndex) }
    }

    private fun apply(entry: LogEntry) {
        check(entry.index == appliedIndex + 1) { "entry ${entry.index} is applied after $appliedIndex" }
        appliedIndex = entry.index
        val payload = entry.payload
        if (payload !is EntryPayload.Command) {
            pending.committed(entry.index, ControlOutcome.Done)
            return
        }
        val applied = ControlStateMachine.apply(control, entry.index, payload.command)
        requests.applied(payload.command, applied.outcome)
        val isChanged = applied.state !== control
        control = applied.state
        ReplicaMetrics.commands.inc()
        pending.committed(entry.index, applied.outcome)
        if (isChanged) outputs.stateChanged(control, appliedIndex)
    }

    private fun leadershipGained() {
        requests.leadershipGained(MonotonicClock.nowMillis())
        ReplicaMetrics.elections.inc()
        log.info("leadership_gained") {
            field("replica", replica.self)
            field("term", replica.hardState.term)
        }
    }

    private fun leadershipLost() {
        pending.leadershipLost()
        log.info("leadership_lost") {
            field("replica", replica.self)
            field("term", replica.hardState.term)
        }
    }

    private fun takeSnapshotIfDue() {
        if (appliedIndex - store.snapshot.point.index < SNAPSHOT_PERIOD_ENTRIES) return
        val term = checkNotNull(replica.log.termAtOrNull(appliedIndex)) { "entry $appliedIndex is not in the log" }
        val point = SnapshotPoint(appliedIndex, term, replica.log.membersAt(appliedIndex))
        val kept = replica.log.slice(appliedIndex + 1, replica.log.lastIndex)
        try {
            store.writeSnapshot(Snapshot(point, control), kept)
        } catch (failure: IOException) {
            reportDisk(failure)
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
        ReplicaMetrics.revision.set(control.revision.number.toDouble())
    }

    private companion object {
        const val SNAPSHOT_PERIOD_ENTRIES = 1_000L
        val log = EventLog.fromName("replica")
    }
}
