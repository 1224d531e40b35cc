package marigoldward.core.replication

import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.LeaseScope
import marigoldward.core.lease.LeaseTable
import marigoldward.core.lease.LeaseTiming
import marigoldward.core.model.FencingToken

/** A replica in a random schedule, with its disk simulated in memory. */
internal class ScheduledReplica(
    val id: ReplicaId,
    members: Members,
    private val observer: Observer,
    private val rules: ScheduleRules,
) {
    /** Is notified of what the replicas do, to check it. */
    interface Observer {
        fun onCommitted(
            replica: ReplicaId,
            entry: LogEntry,
            outcome: ControlOutcome,
            state: ControlState,
            previous: ControlState,
        )

        fun onLeadershipGained(replica: ReplicaId, term: Long)

        fun onLeadershipConfirmed(replica: ScheduledReplica, requestId: Long)
    }

    private var hardState = HardState.INITIAL
    private var snapshot = Snapshot(SnapshotPoint(0, 0, members), ControlState.EMPTY)
    private var entries = emptyList<LogEntry>()
    lateinit var state: ReplicaState
        private set
    var control: ControlState = ControlState.EMPTY
        private set
    var leases = LeaseTable.forNewLeader(LEASE_TIMING, 0)
        private set
    private var appliedIndex = 0L
    var isUp = false
        private set

    fun start(nowMillis: Long, seed: Long) {
        val log = ReplicaLog.fromEntries(snapshot.point, entries)
        state = ReplicaState.fromDisk(id, TIMING, hardState, log, nowMillis, seed)
        control = snapshot.state
        appliedIndex = snapshot.point.index
        isUp = true
    }

    fun stop() {
        isUp = false
        if (rules.losesLastEntryOnRestart) entries = entries.dropLast(1)
    }

    /** Handles [event] and returns the messages to send. */
    fun handle(event: ReplicaEvent, nowMillis: Long): List<ReplicaAction.Send> {
        val step = Replica.step(state, event, nowMillis)
        state = step.state
        step.actions.forEach(::persist)
        return step.actions.mapNotNull { execute(it, nowMillis) }
    }

    fun takeSnapshot(nowMillis: Long) {
        if (appliedIndex <= snapshot.point.index) return
        val term = checkNotNull(state.log.termAtOrNull(appliedIndex))
        snapshot = Snapshot(SnapshotPoint(appliedIndex, term, state.log.membersAt(appliedIndex)), control)
        entries = entries.filter { it.index > appliedIndex }
        handle(ReplicaEvent.SnapshotTaken(appliedIndex), nowMillis)
    }

    /** Renews the lease [token] of [scope]. Returns whether it was still valid. */
    fun renewLease(scope: LeaseScope, token: FencingToken, nowMillis: Long): Boolean {
        val table = if (rules.renewsExpiredLeases) {
            leases.withLeaseStart(scope, token, nowMillis)
        } else {
            leases.renewedOrNull(scope, token, nowMillis)
        }
        leases = table ?: leases
        return table != null
    }

    private fun persist(action: ReplicaAction) {
        when (action) {
            is ReplicaAction.PersistHardState -> hardState = action.hardState
            is ReplicaAction.PersistEntries ->
                entries = entries.takeWhile { it.index < action.entries.first().index } + action.entries
            is ReplicaAction.PersistSnapshot -> {
                snapshot = action.snapshot
                entries = emptyList()
                control = snapshot.state
                appliedIndex = snapshot.point.index
            }
            else -> Unit
        }
    }

    private fun execute(action: ReplicaAction, nowMillis: Long): ReplicaAction.Send? {
        when (action) {
            is ReplicaAction.Send -> return action
            is ReplicaAction.SendSnapshot ->
                return ReplicaAction.Send(action.to, ReplicaMessage.Install(action.term, snapshot, action.round))
            is ReplicaAction.Commit -> action.entries.forEach { apply(it, nowMillis) }
            is ReplicaAction.LeadershipConfirmed -> observer.onLeadershipConfirmed(this, action.requestId)
            is ReplicaAction.LeadershipGained -> {
                observer.onLeadershipGained(id, state.hardState.term)
                val startMillis =
                    if (rules.expiresLeasesOnElection) nowMillis - EXPIRED_LEASE_AGE_MILLIS else nowMillis
                leases = LeaseTable.forNewLeader(LEASE_TIMING, startMillis)
            }
            else -> Unit
        }
        return null
    }

    private fun apply(entry: LogEntry, nowMillis: Long) {
        check(entry.index == appliedIndex + 1) { "$id applied entry ${entry.index} after entry $appliedIndex" }
        appliedIndex = entry.index
        val previous = control
        val command = (entry.payload as? EntryPayload.Command)?.command
        val outcome = if (command == null) {
            ControlOutcome.Done
        } else {
            val result = ControlStateMachine.apply(control, entry.index, command)
            control = result.state
            result.outcome
        }
        if (command is ControlCommand.GrantLease && outcome is ControlOutcome.LeaseGranted) {
            leases = leases.withLeaseStart(command.scope, outcome.token, nowMillis)
        }
        observer.onCommitted(id, entry, outcome, control, previous)
    }

    companion object {
        val TIMING: ReplicationTiming = ReplicationTiming(heartbeatMillis = 50, electionTimeoutMillis = 300)
        val LEASE_TIMING: LeaseTiming = LeaseTiming(durationMillis = 800, marginMillis = 50)
        private const val EXPIRED_LEASE_AGE_MILLIS = 100_000L
    }
}
