package marigoldward.core.replication

import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.control.LeaseScope
import marigoldward.core.control.OperationId
import marigoldward.core.lease.HeldLease
import marigoldward.core.model.CallerId
import marigoldward.core.model.DataCentre
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision
import marigoldward.core.model.SiteName
import kotlin.random.Random

/**
 * One random schedule of three replicas and two lease holders: messages are lost, doubled and reordered, replicas
 * restart, lose their disks and are cut off.
 *
 * @throws IllegalStateException from [run] as soon as something that must always hold does not
 */
internal class ReplicaSchedule(private val seed: Long, private val rules: ScheduleRules) : ScheduledReplica.History {
    private val random = Random(seed)
    private val names = listOf("a", "b", "c").map(InstanceId::parse)
    private val first = Members(names.map { ReplicaId(it, 1) }.toSet())
    private var replicas = first.voters.associate { it.name to ScheduledReplica(it, first, this, rules) }
    private val messages = ArrayList<Envelope>()
    private var cutOff: InstanceId? = null
    private var nowMillis = 0L
    private var nextId = 1L
    private var nextIncarnation = 2L

    private val committed = HashMap<Long, LogEntry>()
    private val leaders = HashMap<Long, ReplicaId>()
    private val claimed = HashMap<String, String>()
    private var highestRevision = HashMap<ReplicaId, Revision>()
    private var highestToken = FencingToken.NONE
    private val held = HashMap<InstanceId, HeldLease>()
    private val asked = HashMap<Long, LeaseAsk>()
    private val grants = HashMap<Long, LeaseAsk>()

    private data class Envelope(
        val from: ReplicaId,
        val to: ReplicaId,
        val message: ReplicaMessage,
        val dueMillis: Long,
    )

    private data class LeaseAsk(val holder: InstanceId, val token: FencingToken, val askedMillis: Long)

    /** How many entries were committed; a schedule that commits nothing proves nothing. */
    val committedEntries: Int get() = committed.size

    fun run() {
        replicas.values.forEach { it.start(nowMillis, random.nextLong()) }
        repeat(rules.steps) { step() }
    }

    /**
     * Heals everything and leaves the replicas alone for a while.
     *
     * @throws IllegalStateException if they commit nothing although all of them are back
     */
    fun settle() {
        cutOff = null
        val before = committed.size
        repeat(SETTLE_STEPS) {
            nowMillis += SETTLE_STEP_MILLIS
            replicas.values.forEach { send(it, it.handle(ReplicaEvent.Tick, nowMillis)) }
            deliver()
            changeMembers()
        }
        propose()
        repeat(SETTLE_STEPS) {
            nowMillis += SETTLE_STEP_MILLIS
            replicas.values.forEach { send(it, it.handle(ReplicaEvent.Tick, nowMillis)) }
            deliver()
        }
        check(committed.size > before) { "seed $seed: nothing is committed any more: ${describe()}" }
        val leading = checkNotNull(leader()) { "seed $seed: nobody leads" }
        check(leading.state.log.members.voters.size == names.size) {
            "seed $seed: ${leading.state.log.members} are the members in the end"
        }
    }

    private fun describe(): String = replicas.values.joinToString { replica ->
        val state = replica.state
        val log = "${state.log.lastIndex}/${state.commitIndex}"
        val role = state.role::class.simpleName
        "${replica.id} up=${replica.isUp} term=${state.hardState.term} log=$log role=$role members=${state.log.members}"
    }

    private fun step() {
        nowMillis += random.nextLong(1, 20)
        replicas.values.filter { it.isUp }.forEach { send(it, it.handle(ReplicaEvent.Tick, nowMillis)) }
        deliver()
        val dice = random.nextInt(1000)
        when {
            dice < 250 -> propose()
            dice < 330 -> lease()
            dice < 350 -> cutOff = if (cutOff == null) replicas.keys.random(random) else null
            dice < 362 -> restart()
            dice < 366 -> if (rules.wipes) wipe()
            dice < 400 -> replicas.values.filter { it.isUp }.randomOrNull(random)?.takeSnapshot(nowMillis)
            dice < 460 -> if (rules.automatic) changeMembers() else replace()
            dice < 463 -> if (rules.automatic) replaceForGood()
        }
    }

    private fun deliver() {
        val due = messages.filter { it.dueMillis <= nowMillis }
        messages.removeAll(due.toSet())
        due.shuffled(random).forEach { envelope ->
            val target = replicas[envelope.to.name] ?: return@forEach
            val isCut = cutOff == envelope.from.name || cutOff == envelope.to.name
            if (isCut || !target.isUp || target.id != envelope.to) return@forEach
            send(target, target.handle(ReplicaEvent.Received(envelope.from, envelope.message), nowMillis))
        }
    }

    private fun send(from: ScheduledReplica, sends: List<ReplicaAction.Send>) {
        sends.forEach { send ->
            val copies = when (random.nextInt(20)) {
                0 -> 0
                1 -> 2
                else -> 1
            }
            repeat(copies) {
                val due = nowMillis + random.nextLong(1, if (random.nextInt(30) == 0) 400 else 25)
                messages.add(Envelope(from.id, send.to, send.message, due))
            }
        }
    }

    private fun leader(): ScheduledReplica? = replicas.values.filter {
        it.isUp && it.state.isLeader
    }.randomOrNull(random)

    private fun propose() {
        val target = leader() ?: return
        val command = if (random.nextBoolean()) configuration(target) else claim()
        send(target, target.handle(ReplicaEvent.Propose(nextId++, command), nowMillis))
    }

    private fun configuration(target: ScheduledReplica): ControlCommand {
        val stale = random.nextInt(4) == 0
        val number = if (stale) maxOf(0, target.control.revision.number - 1) else target.control.revision.number
        val bundle = ConfigurationBundle(SourceFile("base.ini", "change ${nextId++}"), emptyList())
        val operation = OperationId.parse("operation-${random.nextInt(2_000)}")
        return ControlCommand.ApplyConfiguration(operation, Revision.fromNumber(number), bundle)
    }

    private fun claim(): ControlCommand {
        val key = IdempotencyKey(CallerId.parse("caller"), "key-${random.nextInt(50)}")
        return ControlCommand.ClaimKey(key, "attempt-${nextId++}", "request", nowMillis)
    }

    /** A holder renews what it has, or asks for the lease; the leader judges by its own clock. */
    private fun lease() {
        val holder = HOLDERS.random(random)
        val target = leader() ?: return
        val record = target.control.leases[SCOPE]
        val id = nextId++
        if (record != null && record.holder == holder && held[holder]?.token == record.token) {
            asked[id] = LeaseAsk(holder, record.token, nowMillis)
            send(target, target.handle(ReplicaEvent.ConfirmLeadership(id), nowMillis))
            return
        }
        val token = record?.token ?: FencingToken.NONE
        if (record != null && target.leases.remainingMillis(SCOPE, token, nowMillis) > 0) return
        val before = target.state.log.lastIndex
        val command = ControlCommand.GrantLease(SCOPE, holder, token)
        val sends = target.handle(ReplicaEvent.Propose(id, command), nowMillis)
        if (target.state.log.lastIndex == before + 1) grants[before + 1] = LeaseAsk(holder, token, nowMillis)
        send(target, sends)
    }

    private fun restart() {
        val replica = replicas.values.filter { it.isUp }.randomOrNull(random) ?: return
        replica.stop()
        replica.start(nowMillis, random.nextLong())
    }

    /** At most one disk is lost until its replica is a voter again, which is what three replicas can bear. */
    private fun wipe() {
        val isWhole = isWhole()
        if (!isWhole) return
        val name = replicas.keys.random(random)
        val incarnation = if (rules.keepsNameAfterWipe) replicas.getValue(name).id.incarnation else nextIncarnation++
        val known = if (rules.keepsNameAfterWipe) first else Members(emptySet())
        val fresh = ScheduledReplica(ReplicaId(name, incarnation), known, this, rules)
        replicas = replicas + (name to fresh)
        highestRevision.remove(fresh.id)
        fresh.start(nowMillis, random.nextLong())
    }

    /** What an operator and the leader do to take a new incarnation in. */
    private fun replace() {
        val target = leader() ?: return
        val members = target.state.log.members
        val learner = members.learners.firstOrNull()
        val change = if (learner != null) {
            val replaced = members.voterOrNull(learner.name)
            if (replaced != null) MemberChange.Remove(replaced) else MemberChange.Promote(learner)
        } else {
            val newcomer = replicas.values.firstOrNull { it.id !in members.all } ?: return
            MemberChange.AddLearner(newcomer.id)
        }
        send(target, target.handle(ReplicaEvent.ChangeMembers(nextId++, change), nowMillis))
    }

    /** What a leader does without an operator; every replica that is no member has announced itself. */
    private fun changeMembers() {
        val target = leader() ?: return
        val members = target.state.log.members
        if (target.state.log.membersIndex > target.state.commitIndex) return
        val newcomers = replicas.values.filter { it.isUp && it.id !in members.all && it.id.name != cutOff }
        val waiting = newcomers.map { MembershipPlanner.Newcomer(it.id, PLACE) }
        val change = PLANNER.nextChangeOrNull(target.state, waiting, emptyMap(), nowMillis) ?: return
        send(target, target.handle(ReplicaEvent.ChangeMembers(nextId++, change), nowMillis))
    }

    /** Whether every replica is a voter by what is committed; a change that is only in a log may still be lost. */
    private fun isWhole(): Boolean {
        val newest = replicas.values.filter { it.isUp }.maxBy { it.state.commitIndex }.state
        val members = newest.log.membersAt(newest.commitIndex)
        return replicas.values.all { it.id in members.voters } && members.voters.size == names.size
    }

    /** One replica never comes back; an empty one with another name comes instead. */
    private fun replaceForGood() {
        val isWhole = isWhole()
        if (!isWhole) return
        val gone = replicas.keys.random(random)
        val id = ReplicaId(InstanceId.parse("new-${nextIncarnation++}"), 1)
        val fresh = ScheduledReplica(id, Members(emptySet()), this, rules)
        replicas = replicas - gone + (id.name to fresh)
        fresh.start(nowMillis, random.nextLong())
    }

    override fun committed(
        replica: ReplicaId,
        entry: LogEntry,
        outcome: ControlOutcome,
        state: ControlState,
        before: ControlState,
    ) {
        val earlier = committed.putIfAbsent(entry.index, entry)
        check(earlier == null || earlier == entry) {
            "seed $seed: entry ${entry.index} is $entry at $replica and was $earlier"
        }
        check(state.revision >= before.revision) { "seed $seed: revision ${before.revision} became ${state.revision}" }
        checkClaim(entry, outcome)
        checkGrant(entry, outcome, isFirst = earlier == null)
    }

    private fun checkClaim(entry: LogEntry, outcome: ControlOutcome) {
        val command = (entry.payload as? EntryPayload.Command)?.command as? ControlCommand.ClaimKey ?: return
        if (outcome != ControlOutcome.Claimed) return
        val earlier = claimed.putIfAbsent(command.key.key, command.attemptId)
        check(earlier == null || earlier == command.attemptId) {
            "seed $seed: ${command.key} was claimed by $earlier and ${command.attemptId}"
        }
    }

    private fun checkGrant(entry: LogEntry, outcome: ControlOutcome, isFirst: Boolean) {
        if (outcome !is ControlOutcome.LeaseGranted || !isFirst) return
        check(outcome.token > highestToken) { "seed $seed: token ${outcome.token} after $highestToken" }
        highestToken = outcome.token
        val ask = grants[entry.index] ?: return
        take(ask.holder, HeldLease(outcome.token, ask.askedMillis, ScheduledReplica.LEASES))
    }

    override fun confirmed(replica: ScheduledReplica, requestId: Long) {
        val ask = asked.remove(requestId) ?: return
        val record = replica.control.leases[SCOPE] ?: return
        if (record.token != ask.token) return
        if (!replica.renew(SCOPE, ask.token, nowMillis)) return
        val lease = held[ask.holder] ?: return
        if (lease.token == ask.token) take(ask.holder, lease.renewed(ask.askedMillis))
    }

    private fun take(holder: InstanceId, lease: HeldLease) {
        held[holder] = lease
        val others = held.filter { it.key != holder && it.value.isValid(nowMillis) }
        check(!lease.isValid(nowMillis) || others.isEmpty()) {
            "seed $seed: $holder and ${others.keys} may act at $nowMillis"
        }
    }

    override fun leads(replica: ReplicaId, term: Long) {
        val earlier = leaders.putIfAbsent(term, replica)
        check(earlier == null || earlier == replica) { "seed $seed: $earlier and $replica lead in term $term" }
    }

    private companion object {
        val HOLDERS = listOf("holder-1", "holder-2").map(InstanceId::parse)
        val PLACE = DataCentre.parse("dc")

        /** A voter that is silent for two election timeouts is replaced if another replica waits. */
        val PLANNER = MembershipPlanner(targetVoters = 3, replaceAfterMillis = 600)
        const val SETTLE_STEPS = 400
        const val SETTLE_STEP_MILLIS = 10L
        val SCOPE = LeaseScope.forEngines(SiteName.parse("site"), DataCentre.parse("dc"))
    }
}
