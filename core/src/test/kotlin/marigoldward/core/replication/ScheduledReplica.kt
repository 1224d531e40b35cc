package marigoldward.core.replication

import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.LeaseScope
import marigoldward.core.lease.LeaseTable
import marigoldward.core.lease.LeaseTiming
import marigoldward.core.model.FencingToken

/** One replica of a random schedule with its disk in memory. */
internal class ScheduledReplica(
    val id: ReplicaId,
    members: Members,
    private val history: History,
    private val rules: ScheduleRules,
) {
    /** What the replicas are checked against. */
    interface History {
        fun committed(
            replica: ReplicaId,
            entry: LogEntry,
            outcome: ControlOutcome,
            state: ControlState,
            before: ControlState,
        )

        fun leads(replica: ReplicaId, term: Long)

        fun confirmed(replica: ScheduledReplica, requestId: Long)
    }

    private var hardState = HardState.INITIAL
    private var snapshot = Snapshot(SnapshotPoint(0, 0, members), ControlState.EMPTY)
    private var entries = emptyList<LogEntry>()
    lateinit var state: ReplicaState
        private set
    var control: ControlState = ControlState.EMPTY
        private set
    var leases = LeaseTable.fromLeadership(LEASES, 0)
        private set
    private var applied = 0L
    var isUp = false
        private set

    fun start(nowMillis: Long, seed: Long) {
        val log = ReplicaLog.fromEntries(snapshot.point, entries)
        state = ReplicaState.fromDisk(id, TIMING, hardState, log, nowMillis, seed)
        control = snapshot.state
        applied = snapshot.point.index
        isUp = true
    }

    fun stop() {
        isUp = false
        if (rules.losesUnsynced) entries = entries.dropLast(1)
    }

    /** Handles [event] and returns what is to be sent. */
    fun handle(event: ReplicaEvent, nowMillis: Long): List<ReplicaAction.Send> {
        val step = Replica.step(state, event, nowMillis)
        state = step.state
        step.actions.forEach(::persist)
        return step.actions.mapNotNull { carryOut(it, nowMillis) }
    }

    fun takeSnapshot(nowMillis: Long) {
        if (applied <= snapshot.point.index) return
        val term = checkNotNull(state.log.termAtOrNull(applied))
        snapshot = Snapshot(SnapshotPoint(applied, term, state.log.membersAt(applied)), control)
        entries = entries.filter { it.index > applied }
        handle(ReplicaEvent.SnapshotTaken(applied), nowMillis)
    }

    /** Renews [token] of [scope]; false if it has run out. */
    fun renew(scope: LeaseScope, token: FencingToken, nowMillis: Long): Boolean {
        val table = if (rules.renewsExpired) {
            leases.counted(scope, token, nowMillis)
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
                applied = snapshot.point.index
            }
            else -> Unit
        }
    }

    private fun carryOut(action: ReplicaAction, nowMillis: Long): ReplicaAction.Send? {
        when (action) {
            is ReplicaAction.Send -> return action
            is ReplicaAction.SendSnapshot ->
                return ReplicaAction.Send(action.to, ReplicaMessage.Install(action.term, snapshot, action.round))
            is ReplicaAction.Commit -> action.entries.forEach { apply(it, nowMillis) }
            is ReplicaAction.LeadershipConfirmed -> history.confirmed(this, action.requestId)
            is ReplicaAction.LeadershipGained -> {
                history.leads(id, state.hardState.term)
                val sinceMillis = if (rules.forgetsLeases) nowMillis - FORGOTTEN_MILLIS else nowMillis
                leases = LeaseTable.fromLeadership(LEASES, sinceMillis)
            }
            else -> Unit
        }
        return null
    }

    private fun apply(entry: LogEntry, nowMillis: Long) {
        check(entry.index == applied + 1) { "$id applies ${entry.index} after $applied" }
        applied = entry.index
        val before = control
        val command = (entry.payload as? EntryPayload.Command)?.command
        val outcome = if (command == null) {
            ControlOutcome.Done
        } else {
            val result = ControlStateMachine.apply(control, entry.index, command)
            control = result.state
            result.outcome
        }
        if (command is ControlCommand.GrantLease && outcome is ControlOutcome.LeaseGranted) {
            leases = leases.counted(command.scope, outcome.token, nowMillis)
        }
        history.committed(id, entry, outcome, control, before)
    }

    companion object {
        val TIMING: ReplicationTiming = ReplicationTiming(heartbeatMillis = 50, electionTimeoutMillis = 300)
        val LEASES: LeaseTiming = LeaseTiming(durationMillis = 800, marginMillis = 50)
        private const val FORGOTTEN_MILLIS = 100_000L
    }
}
