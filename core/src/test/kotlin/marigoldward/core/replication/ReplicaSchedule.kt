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
 * A simulation of three replicas and two lease holders under random faults.
 *
 * Messages are lost, duplicated and reordered; replicas restart, lose their disks and are isolated from the others.
 * The same seed and rules give the same schedule. [run] and [recover] throw an [IllegalStateException] as soon as an
 * invariant is violated.
 */
internal class ReplicaSchedule(private val seed: Long, private val rules: ScheduleRules) : ScheduledReplica.Observer {
    private val random = Random(seed)
    private val instances = listOf("a", "b", "c").map(InstanceId::parse)
    private val initialMembers = Members(instances.map { ReplicaId(it, 1) }.toSet())
    private var replicas =
        initialMembers.voters.associate { it.name to ScheduledReplica(it, initialMembers, this, rules) }
    private val inFlight = ArrayList<Envelope>()
    private var isolated: InstanceId? = null
    private var frozen = emptySet<InstanceId>()
    private var lastDiskLossMillis: Long? = null
    private var nowMillis = 0L
    private var nextId = 1L
    private var nextIncarnation = 2L

    private val entriesByIndex = HashMap<Long, LogEntry>()
    private val leadersByTerm = HashMap<Long, ReplicaId>()
    private val attemptsByKey = HashMap<String, String>()
    private var highestRevision = HashMap<ReplicaId, Revision>()
    private var newestRevision = Revision.NONE
    private var highestToken = FencingToken.NONE
    private val heldLeases = HashMap<InstanceId, HeldLease>()
    private val readFloors = HashMap<Long, ReadFloor>()
    private val renewalRequests = HashMap<Long, LeaseRequest>()
    private val grantRequests = HashMap<Long, LeaseRequest>()

    private data class Envelope(
        val from: ReplicaId,
        val to: ReplicaId,
        val message: ReplicaMessage,
        val dueMillis: Long,
    )

    /** What a read that was sent at a time must return at least. */
    private data class ReadFloor(val index: Long, val revision: Revision)

    private data class LeaseRequest(val holder: InstanceId, val token: FencingToken, val requestedMillis: Long)

    /** The number of committed entries. A schedule without any would check nothing. */
    val committedCount: Int get() = entriesByIndex.size

    fun run() {
        if (rules.overlapsLosses) {
            val spare = ReplicaId(InstanceId.parse("spare"), 1)
            replicas = replicas + (spare.name to ScheduledReplica(spare, Members(emptySet()), this, rules))
        }
        replicas.values.forEach { it.start(nowMillis, random.nextLong()) }
        repeat(rules.steps) { runStep() }
    }

    /**
     * Reconnects all replicas and lets them run without further restarts, isolation or disk losses.
     *
     * @throws IllegalStateException if they commit nothing, or don't end up as voters again
     */
    fun recover() {
        isolated = null
        frozen = emptySet()
        replicas.values.filter { !it.isUp }.forEach { it.start(nowMillis, random.nextLong()) }
        val countBefore = entriesByIndex.size
        repeat(RECOVERY_STEPS) {
            nowMillis += RECOVERY_STEP_MILLIS
            replicas.values.forEach { send(it, it.handle(ReplicaEvent.Tick, nowMillis)) }
            deliverDueMessages()
            changeMembersAsPlanned()
        }
        proposeRandomCommand()
        repeat(RECOVERY_STEPS) {
            nowMillis += RECOVERY_STEP_MILLIS
            replicas.values.forEach { send(it, it.handle(ReplicaEvent.Tick, nowMillis)) }
            deliverDueMessages()
        }
        check(entriesByIndex.size > countBefore) { "seed $seed: no entry was committed after recovery: ${describe()}" }
        val leader = checkNotNull(randomLeaderOrNull()) { "seed $seed: there is no leader after recovery" }
        check(leader.state.log.members.voters.size == instances.size) {
            "seed $seed: not all replicas are voters after recovery: ${leader.state.log.members}"
        }
    }

    private fun describe(): String = replicas.values.joinToString { replica ->
        val state = replica.state
        val log = "${state.log.lastIndex}/${state.commitIndex}"
        val role = state.role::class.simpleName
        "${replica.id} up=${replica.isUp} term=${state.hardState.term} log=$log role=$role members=${state.log.members}"
    }

    private fun runStep() {
        nowMillis += random.nextLong(1, 20)
        runningReplicas().forEach { send(it, it.handle(ReplicaEvent.Tick, nowMillis)) }
        deliverDueMessages()
        val draw = random.nextInt(1000)
        when {
            draw < 250 -> proposeRandomCommand()
            draw < 330 -> requestLease()
            draw < 350 -> isolated = if (isolated == null) replicas.keys.random(random) else null
            draw < 362 -> restartReplica()
            draw < 366 -> if (rules.wipesDisks) wipeDisk()
            draw < 400 -> runningReplicas().randomOrNull(random)?.takeSnapshot(nowMillis)
            draw < 460 -> if (rules.usesMembershipPlanner) changeMembersAsPlanned() else replaceAsOperator()
            draw < 463 -> if (rules.usesMembershipPlanner) replacePermanently()
            rules.overlapsLosses -> overlapLosses(draw)
        }
    }

    private fun overlapLosses(draw: Int) {
        when {
            draw < 469 -> freeze()
            draw < 476 -> frozen = emptySet()
            draw < 480 -> takeDown()
            draw < 488 -> bringBack()
            draw < 494 -> loseOneDisk()
            draw < 560 -> read()
        }
    }

    private fun runningReplicas(): List<ScheduledReplica> = replicas.values.filter { it.isUp && it.id.name !in frozen }

    private fun freeze() {
        val running = runningReplicas()
        if (running.size <= replicas.size - MAX_ABSENT) return
        frozen = frozen + running.random(random).id.name
    }

    private fun takeDown() {
        val running = runningReplicas()
        if (running.size <= replicas.size - MAX_ABSENT) return
        running.random(random).stop()
    }

    private fun bringBack() {
        replicas.values.filter { !it.isUp }.randomOrNull(random)?.start(nowMillis, random.nextLong())
    }

    /** Clears the disk of a random replica, if each disk that was lost before has been replaced for a while. */
    private fun loseOneDisk() {
        if (!isLossTolerated()) return
        lastDiskLossMillis = nowMillis
        val name = replicas.keys.random(random)
        frozen = frozen - name
        val newReplica = ScheduledReplica(ReplicaId(name, nextIncarnation++), Members(emptySet()), this, rules)
        replicas = replicas + (name to newReplica)
        newReplica.start(nowMillis, random.nextLong())
    }

    private fun isLossTolerated(): Boolean {
        val lastMillis = lastDiskLossMillis ?: return true
        // A frozen leader of an earlier term doesn't know of replacements that are still under way.
        val newestTerm = replicas.values.maxOf { it.state.hardState.term }
        val leader = replicas.values.firstOrNull { it.state.isLeader && it.state.hardState.term == newestTerm }
        val state = leader?.state ?: return false
        val members = state.log.members
        val areDisksKept = members.all.all { replicas[it.name]?.id == it } && members.voters.size >= instances.size
        return areDisksKept && state.log.membersIndex <= state.commitIndex && nowMillis - lastMillis > CATCH_UP_MILLIS
    }

    /** Lets a leader answer a read, which must see what was committed anywhere when it was sent. */
    private fun read() {
        val leader = randomLeaderOrNull() ?: return
        val id = nextId++
        readFloors[id] = ReadFloor(entriesByIndex.keys.maxOrNull() ?: 0, newestRevision)
        if (rules.readsWithoutQuorum) {
            checkRead(leader, id)
        } else {
            send(leader, leader.handle(ReplicaEvent.ConfirmLeadership(id), nowMillis))
        }
    }

    private fun checkRead(replica: ScheduledReplica, requestId: Long) {
        val floor = readFloors.remove(requestId) ?: return
        check(replica.state.commitIndex >= floor.index && replica.control.revision >= floor.revision) {
            "seed $seed: ${replica.id} reads ${replica.control.revision} at entry ${replica.state.commitIndex}, but " +
                "$floor was committed before"
        }
    }

    private fun deliverDueMessages() {
        val due = inFlight.filter { it.dueMillis <= nowMillis }
        inFlight.removeAll(due.toSet())
        due.shuffled(random).forEach { envelope ->
            val recipient = replicas[envelope.to.name] ?: return@forEach
            val isBlocked = isolated == envelope.from.name || isolated == envelope.to.name
            val isAbsent = !recipient.isUp || envelope.to.name in frozen
            if (isBlocked || isAbsent || recipient.id != envelope.to) return@forEach
            send(recipient, recipient.handle(ReplicaEvent.Received(envelope.from, envelope.message), nowMillis))
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
                val dueMillis = nowMillis + random.nextLong(1, if (random.nextInt(30) == 0) 400 else 25)
                inFlight.add(Envelope(from.id, send.to, send.message, dueMillis))
            }
        }
    }

    /** Returns one of the replicas that consider themselves leaders, or null if there is none. */
    private fun randomLeaderOrNull(): ScheduledReplica? =
        runningReplicas().filter { it.state.isLeader }.randomOrNull(random)

    private fun proposeRandomCommand() {
        val leader = randomLeaderOrNull() ?: return
        val command = if (random.nextBoolean()) configurationCommand(leader) else claimCommand()
        send(leader, leader.handle(ReplicaEvent.Propose(nextId++, command), nowMillis))
    }

    private fun configurationCommand(leader: ScheduledReplica): ControlCommand {
        val isStale = random.nextInt(4) == 0
        val number = if (isStale) maxOf(0, leader.control.revision.number - 1) else leader.control.revision.number
        val bundle = ConfigurationBundle(SourceFile("base.ini", "change ${nextId++}"), emptyList())
        val operation = OperationId.parse("operation-${random.nextInt(2_000)}")
        return ControlCommand.ApplyConfiguration(operation, Revision.fromNumber(number), bundle)
    }

    private fun claimCommand(): ControlCommand {
        val key = IdempotencyKey(CallerId.parse("caller"), "key-${random.nextInt(50)}")
        return ControlCommand.ClaimKey(key, "attempt-${nextId++}", "request", nowMillis)
    }

    /** Lets a random holder renew its lease, or request the lease if the leader considers it free or expired. */
    private fun requestLease() {
        val holder = HOLDERS.random(random)
        val leader = randomLeaderOrNull() ?: return
        val record = leader.control.leases[SCOPE]
        val id = nextId++
        if (record != null && record.holder == holder && heldLeases[holder]?.token == record.token) {
            renewalRequests[id] = LeaseRequest(holder, record.token, nowMillis)
            send(leader, leader.handle(ReplicaEvent.ConfirmLeadership(id), nowMillis))
            return
        }
        val token = record?.token ?: FencingToken.NONE
        if (record != null && leader.leases.remainingMillis(SCOPE, token, nowMillis) > 0) return
        val lastIndex = leader.state.log.lastIndex
        val command = ControlCommand.GrantLease(SCOPE, holder, token)
        val sends = leader.handle(ReplicaEvent.Propose(id, command), nowMillis)
        if (leader.state.log.lastIndex == lastIndex + 1) {
            grantRequests[lastIndex + 1] = LeaseRequest(holder, token, nowMillis)
        }
        send(leader, sends)
    }

    private fun restartReplica() {
        val replica = runningReplicas().randomOrNull(random) ?: return
        replica.stop()
        replica.start(nowMillis, random.nextLong())
    }

    /** Clears a random replica's disk if all replicas are voters, since three replicas tolerate only one lost disk. */
    private fun wipeDisk() {
        if (!areAllVoters()) return
        val name = replicas.keys.random(random)
        val incarnation =
            if (rules.keepsIncarnationAfterWipe) replicas.getValue(name).id.incarnation else nextIncarnation++
        val members = if (rules.keepsIncarnationAfterWipe) initialMembers else Members(emptySet())
        val newReplica = ScheduledReplica(ReplicaId(name, incarnation), members, this, rules)
        replicas = replicas + (name to newReplica)
        highestRevision.remove(newReplica.id)
        newReplica.start(nowMillis, random.nextLong())
    }

    /** Makes the next step of the replacement of a lost replica by its new incarnation, as an operator requests it. */
    private fun replaceAsOperator() {
        val leader = randomLeaderOrNull() ?: return
        val members = leader.state.log.members
        val learner = members.learners.firstOrNull()
        val change = if (learner != null) {
            val replaced = members.voterOrNull(learner.name)
            if (replaced != null) MemberChange.Remove(replaced) else MemberChange.Promote(learner)
        } else {
            val newReplica = replicas.values.firstOrNull { it.id !in members.all } ?: return
            MemberChange.AddLearner(newReplica.id)
        }
        send(leader, leader.handle(ReplicaEvent.ChangeMembers(nextId++, change), nowMillis))
    }

    /** Makes the next planned change of the members. All replicas that are not members have asked to join. */
    private fun changeMembersAsPlanned() {
        val leader = randomLeaderOrNull() ?: return
        val members = leader.state.log.members
        if (leader.state.log.membersIndex > leader.state.commitIndex) return
        val newReplicas = runningReplicas().filter { it.id !in members.all && it.id.name != isolated }
        val joining = newReplicas.map { MembershipPlanner.JoiningReplica(it.id, DATA_CENTRE) }
        val change = PLANNER.nextChangeOrNull(leader.state, joining, emptyMap(), nowMillis) ?: return
        send(leader, leader.handle(ReplicaEvent.ChangeMembers(nextId++, change), nowMillis))
    }

    /** Returns whether all replicas are voters, without uncommitted changes, which may still be lost. */
    private fun areAllVoters(): Boolean {
        val newest = replicas.values.filter { it.isUp }.maxBy { it.state.commitIndex }.state
        val members = newest.log.membersAt(newest.commitIndex)
        return replicas.values.all { it.id in members.voters } && members.voters.size == instances.size
    }

    /** Removes a random replica permanently and starts one with a new name and an empty disk. */
    private fun replacePermanently() {
        if (!areAllVoters()) return
        val removed = replicas.keys.random(random)
        val id = ReplicaId(InstanceId.parse("new-${nextIncarnation++}"), 1)
        val newReplica = ScheduledReplica(id, Members(emptySet()), this, rules)
        replicas = replicas - removed + (id.name to newReplica)
        newReplica.start(nowMillis, random.nextLong())
    }

    override fun onCommitted(
        replica: ReplicaId,
        entry: LogEntry,
        outcome: ControlOutcome,
        state: ControlState,
        previous: ControlState,
    ) {
        val earlier = entriesByIndex.putIfAbsent(entry.index, entry)
        check(earlier == null || earlier == entry) {
            "seed $seed: entry ${entry.index} is $entry at $replica, but $earlier was committed before"
        }
        check(state.revision >= previous.revision) {
            "seed $seed: revision fell from ${previous.revision} to ${state.revision}"
        }
        newestRevision = maxOf(newestRevision, state.revision)
        checkClaim(entry, outcome)
        checkGrant(entry, outcome, isFirst = earlier == null)
    }

    private fun checkClaim(entry: LogEntry, outcome: ControlOutcome) {
        val command = (entry.payload as? EntryPayload.Command)?.command as? ControlCommand.ClaimKey ?: return
        if (outcome != ControlOutcome.Claimed) return
        val earlier = attemptsByKey.putIfAbsent(command.key.key, command.attemptId)
        check(earlier == null || earlier == command.attemptId) {
            "seed $seed: ${command.key} was claimed by both $earlier and ${command.attemptId}"
        }
    }

    private fun checkGrant(entry: LogEntry, outcome: ControlOutcome, isFirst: Boolean) {
        if (outcome !is ControlOutcome.LeaseGranted || !isFirst) return
        check(outcome.token > highestToken) { "seed $seed: token ${outcome.token} was granted after $highestToken" }
        highestToken = outcome.token
        val request = grantRequests[entry.index] ?: return
        holdLease(request.holder, HeldLease(outcome.token, request.requestedMillis, ScheduledReplica.LEASE_TIMING))
    }

    override fun onLeadershipConfirmed(replica: ScheduledReplica, requestId: Long) {
        checkRead(replica, requestId)
        val request = renewalRequests.remove(requestId) ?: return
        val record = replica.control.leases[SCOPE] ?: return
        if (record.token != request.token) return
        if (!replica.renewLease(SCOPE, request.token, nowMillis)) return
        val lease = heldLeases[request.holder] ?: return
        if (lease.token == request.token) holdLease(request.holder, lease.renewed(request.requestedMillis))
    }

    private fun holdLease(holder: InstanceId, lease: HeldLease) {
        heldLeases[holder] = lease
        val others = heldLeases.filter { it.key != holder && it.value.isValid(nowMillis) }
        check(!lease.isValid(nowMillis) || others.isEmpty()) {
            "seed $seed: $holder and ${others.keys} hold the lease at the same time, at $nowMillis ms"
        }
    }

    override fun onLeadershipGained(replica: ReplicaId, term: Long) {
        val earlier = leadersByTerm.putIfAbsent(term, replica)
        check(earlier == null || earlier == replica) {
            "seed $seed: $earlier and $replica are both leaders in term $term"
        }
    }

    private companion object {
        val HOLDERS = listOf("holder-1", "holder-2").map(InstanceId::parse)
        val DATA_CENTRE = DataCentre.parse("dc")

        /** Replaces a voter that has been silent for two election timeouts. */
        val PLANNER = MembershipPlanner(targetVoters = 3, replaceAfterMillis = 600)

        /** How many replicas are frozen or down at most. */
        const val MAX_ABSENT = 2

        /** The time within which a lost disk must be replaced. */
        const val CATCH_UP_MILLIS = 1_500L
        const val RECOVERY_STEPS = 400
        const val RECOVERY_STEP_MILLIS = 10L
        val SCOPE = LeaseScope.forEngines(SiteName.parse("site"), DataCentre.parse("dc"))
    }
}
