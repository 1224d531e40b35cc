package marigoldward.core.replication

import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.OperationId
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId

/**
 * Three replicas and a spare one. A replica is frozen, so that the spare one takes its place; at a given moment the disk
 * of another is lost, and later the frozen one thaws unless [comesBack] is false.
 *
 * Messages take one step and aren't lost, except those to a frozen replica. The leader plans changes of members every
 * [planPeriodSteps].
 */
internal class ReplacementRun(
    private val isLeaderFrozen: Boolean,
    private val stepMillis: Long,
    private val comesBack: Boolean = true,
    private val planPeriodSteps: Long = 1,
) : ScheduledReplica.Observer {
    /** The replica whose disk is lost. */
    enum class Lost(val label: String) {
        LEADER("the disk of the leader"),
        FOLLOWER("the disk of the other follower"),
        SPARE("the disk of the spare replica"),
        SPARE_REPLICA("the spare replica, in whose place another one starts later,"),
    }

    private data class Envelope(val from: ReplicaId, val to: ReplicaId, val message: ReplicaMessage)

    private val rules = ScheduleRules()
    private val voters = listOf("a", "b", "c").map { ReplicaId(InstanceId.parse(it), 1) }.toSet()
    private val spare = ReplicaId(InstanceId.parse("spare"), 7)
    private var replicas =
        voters.associate { it.name to ScheduledReplica(it, Members(voters), this, rules) } +
            (spare.name to ScheduledReplica(spare, Members(emptySet()), this, rules))
    private var inFlight = emptyList<Envelope>()
    private var frozen: InstanceId? = null
    private var nowMillis = 0L
    private var nextId = 1L
    private val committed = HashMap<Long, LogEntry>()

    /** Returns whether no leader commits an entry any more after [lost], [delaySteps] after the freeze. */
    fun endsForGood(lost: Lost, delaySteps: Int): Boolean {
        val remaining = freezeOne()
        runSteps(delaySteps)
        val leaderNow = leaderOrNull()?.id ?: remaining.first()
        when (lost) {
            Lost.LEADER -> loseDisk(leaderNow.name)
            Lost.FOLLOWER -> loseDisk(remaining.first { it != leaderNow }.name)
            Lost.SPARE -> loseDisk(spare.name)
            Lost.SPARE_REPLICA -> replicas = replicas - spare.name
        }
        runSteps(FROZEN_STEPS)
        if (lost == Lost.SPARE_REPLICA) loseDisk(InstanceId.parse("spare-2"))
        if (comesBack) frozen = null
        runSteps(RECOVERY_STEPS)
        val countBefore = committed.size
        propose()
        runSteps(START_STEPS)
        return committed.size == countBefore
    }

    /** Returns the delay, in steps, after which the removal of the frozen replica is committed if no disk is lost. */
    fun stepsUntilRemoved(): Int {
        freezeOne()
        return generateSequence(0) { it + 1 }.take(RECOVERY_STEPS).first {
            val state = leaderOrNull()?.state
            val isRemoved =
                state != null &&
                    state.log.members.voterOrNull(checkNotNull(frozen)) == null &&
                    state.commitIndex >= state.log.membersIndex
            if (!isRemoved) runSteps(1)
            isRemoved
        }
    }

    /** Starts the replicas and freezes one until it is about to be replaced; returns the other voters. */
    private fun freezeOne(): List<ReplicaId> {
        replicas.values.forEachIndexed { number, replica -> replica.start(nowMillis, number + 1L) }
        runSteps(START_STEPS)
        propose()
        runSteps(1)
        val leader = checkNotNull(leaderOrNull()) { "no leader at the start" }.id
        val followers = (voters - leader).toList()
        val frozenId = if (isLeaderFrozen) leader else followers.first()
        val remaining = (voters - frozenId).toList()
        frozen = frozenId.name
        runSteps((PLANNER.replaceAfterMillis / stepMillis).toInt() - 1)
        return remaining
    }

    private fun leaderOrNull(): ScheduledReplica? = replicas.values
        .filter { it.id.name != frozen && it.state.isLeader }
        .maxByOrNull { it.state.hardState.term }

    private fun loseDisk(name: InstanceId) {
        val id = ReplicaId(name, 100 + nextId++)
        val replacement = ScheduledReplica(id, Members(emptySet()), this, rules)
        replicas = replicas + (name to replacement)
        replacement.start(nowMillis, nextId)
    }

    private fun propose() {
        val bundle = ConfigurationBundle(SourceFile("base.ini", "change ${nextId++}"), emptyList())
        val leader = leaderOrNull() ?: return
        val command =
            ControlCommand.ApplyConfiguration(OperationId.parse("operation-$nextId"), leader.control.revision, bundle)
        send(leader, ReplicaEvent.Propose(nextId++, command))
    }

    private fun runSteps(count: Int) = repeat(count) {
        nowMillis += stepMillis
        val arriving = inFlight
        inFlight = emptyList()
        arriving.forEach { envelope ->
            val recipient = replicas[envelope.to.name] ?: return@forEach
            if (recipient.id != envelope.to || recipient.id.name == frozen) return@forEach
            send(recipient, ReplicaEvent.Received(envelope.from, envelope.message))
        }
        replicas.values.filter { it.id.name != frozen }.forEach { send(it, ReplicaEvent.Tick) }
        if (nowMillis / stepMillis % planPeriodSteps == 0L) changeMembers()
    }

    private fun changeMembers() {
        val leader = leaderOrNull() ?: return
        val log = leader.state.log
        if (log.membersIndex > leader.state.commitIndex) return
        val joining = replicas.values.filter { it.id !in log.members.all && it.id.name != frozen }
            .map { MembershipPlanner.JoiningReplica(it.id, DataCentre.parse("dc")) }
        val change = PLANNER.nextChangeOrNull(leader.state, joining, emptyMap(), nowMillis) ?: return
        send(leader, ReplicaEvent.ChangeMembers(nextId++, change))
    }

    private fun send(from: ScheduledReplica, event: ReplicaEvent) {
        inFlight = inFlight + from.handle(event, nowMillis).map { Envelope(from.id, it.to, it.message) }
    }

    override fun onCommitted(
        replica: ReplicaId,
        entry: LogEntry,
        outcome: ControlOutcome,
        state: ControlState,
        previous: ControlState,
    ) {
        val earlier = committed.putIfAbsent(entry.index, entry)
        check(earlier == null || earlier == entry) { "entry ${entry.index} is $entry at $replica, before $earlier" }
    }

    override fun onLeadershipGained(replica: ReplicaId, term: Long) = Unit

    override fun onLeadershipConfirmed(replica: ScheduledReplica, requestId: Long) = Unit

    private companion object {
        val PLANNER = MembershipPlanner(targetVoters = 3, replaceAfterMillis = 600)
        const val START_STEPS = 200
        const val FROZEN_STEPS = 100
        const val RECOVERY_STEPS = 400
    }
}
