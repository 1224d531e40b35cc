package marigoldward.control.cluster

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import marigoldward.control.storage.Cut
import marigoldward.control.storage.HEADER_BYTES
import marigoldward.control.storage.ReplicaStore
import marigoldward.control.storage.SimulatedDisk
import marigoldward.core.control.ControlState
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.HardState
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.Snapshot
import marigoldward.core.replication.SnapshotPoint
import marigoldward.support.program.KeyFile
import marigoldward.wire.rpc.ClusterAccess
import marigoldward.wire.rpc.ClusterIdentity
import java.net.InetSocketAddress
import kotlin.random.Random

private val FIRST_SEED = System.getProperty("marigoldward.power.seed", "1").toLong()
private val SEEDS = System.getProperty("marigoldward.power.seeds", "3000").toLong()
private const val STEPS = 30
private const val MAX_OPERATIONS = 40

/** The number of losses of power after each number of operations. */
private val LOSSES = System.getProperty("marigoldward.power.losses", "5").toInt()
private val ADDRESSES = (1..3).map { InetSocketAddress("127.0.0.$it", 1) }
private val SELF = ReplicaId(InstanceId.parse("127.0.0.1"), 1)

private fun settings(disk: SimulatedDisk, isFirstStart: Boolean): ClusterSettings = ClusterSettings(
    ip = SELF.name,
    dataCentre = DataCentre.parse("a"),
    operatorListen = ADDRESSES.first(),
    dataFolder = disk.folder,
    cluster = ClusterAccess(ADDRESSES, 1, ClusterIdentity("test", KeyFile.fromSecret("a key of the tests"))),
    isFirstStart = isFirstStart,
    lostInstances = 1,
    catchUpMillis = 4_000,
    directory = ADDRESSES.first(),
    leaseMillis = 3_000,
)

private fun open(disk: SimulatedDisk, isFirstStart: Boolean): ReplicaStore =
    ClusterStore.open(settings(disk, isFirstStart))

/** What a replica has recorded. */
private data class Content(val hardState: HardState, val snapshot: Snapshot, val entries: List<LogEntry>) {
    val lastIndex: Long get() = entries.lastOrNull()?.index ?: snapshot.point.index

    fun termAt(index: Long): Long =
        if (index == snapshot.point.index) snapshot.point.term else entries.first { it.index == index }.term

    /** Returns the content after each of [written], in order, replaced the entry of its index and all later ones. */
    fun withEach(written: List<LogEntry>): List<Content> = written.runningFold(this) { content, entry ->
        content.copy(entries = content.entries.takeWhile { it.index < entry.index } + entry)
    }
}

/** One instance with random writes, ends and losses of power. */
private class PoweredInstance(seed: Long) {
    private val random = Random(seed)
    private val disk = SimulatedDisk()
    private var store: ReplicaStore? = null
    private var wasOpen = false

    /** What the files may contain. The first is what the replica goes by. */
    private var allowed = emptyList<Content>()
    private val history = ArrayList<String>()

    /** Returns what a start found that differs from what was recorded, or null if none did. */
    fun runOrNull(): String? {
        repeat(STEPS) {
            disk.maxOperations = disk.operations + random.nextInt(MAX_OPERATIONS)
            try {
                val open = store
                if (open == null) reopenOrNull()?.let { return it } else step(open)
            } catch (_: Cut) {
                end()
            }
        }
        return null
    }

    private fun end() {
        store = null
        disk.maxOperations = Int.MAX_VALUE
        val isPowerLost = random.nextBoolean()
        if (isPowerLost) disk.losePower(random)
        history.add(if (isPowerLost) "power lost" else "killed")
    }

    private fun reopenOrNull(): String? {
        val opened = open(disk, isFirstStart = !wasOpen || random.nextBoolean())
        val found = Content(opened.recovered.hardState, opened.recovered.snapshot, opened.recovered.entries)
        history.add("open $found")
        if (opened.replica != SELF) return "$history: replica ${opened.replica}"
        if (wasOpen && found !in allowed) return "$history: not one of $allowed"
        allowed = listOf(found)
        wasOpen = true
        store = opened
        return null
    }

    private fun step(store: ReplicaStore) {
        val known = allowed.first()
        when (random.nextInt(8)) {
            0 -> {
                val next = known.copy(hardState = HardState(known.hardState.term + 1, SELF))
                write(
                    next,
                    allowed.map {
                        it.copy(hardState = next.hardState)
                    },
                ) { store.writeHardState(next.hardState) }
            }
            1, 2 -> writeBatch(store, known)
            3 -> rollBackBatch(store, known)
            4 -> if (known.entries.isNotEmpty()) takeSnapshot(store, known)
            5 -> install(store, known)
            6 -> write(known, emptyList()) { store.rewriteEntries(known.entries) }
            else -> end()
        }
    }

    /** Runs [operation], after which the files contain [next], and before which they may contain [others] too. */
    private fun write(next: Content, others: List<Content>, operation: () -> Unit) {
        history.add("write $next")
        allowed = allowed + others + next
        operation()
        allowed = listOf(next)
    }

    private fun writeBatch(store: ReplicaStore, known: Content) {
        val batch = newEntries(known)
        val contents = known.withEach(batch)
        write(contents.last(), contents) {
            batch.chunked(2).forEach(store::writeEntries)
            store.sync()
        }
    }

    /** Does what a replica does after a write that failed. */
    private fun rollBackBatch(store: ReplicaStore, known: Content) {
        val batch = newEntries(known)
        write(known, known.withEach(batch)) {
            store.writeEntries(batch)
            store.rollBack()
            store.rewriteEntries(known.entries)
        }
    }

    /** Returns entries that replace some of [known], or none, and that have the newest term. */
    private fun newEntries(known: Content): List<LogEntry> {
        val first = random.nextLong(known.snapshot.point.index + 1, known.lastIndex + 2)
        return (first..first + random.nextInt(4)).map { LogEntry(it, known.hardState.term, EntryPayload.Noop) }
    }

    private fun takeSnapshot(store: ReplicaStore, known: Content) {
        val index = known.entries.random(random).index
        val snapshot = snapshot(index, known.termAt(index), known)
        val cut = known.copy(snapshot = snapshot, entries = known.entries.filter { it.index > index })
        write(cut, emptyList()) { store.writeSnapshot(snapshot, cut.entries) }
    }

    /** Installs the snapshot of a leader whose entries differ from the own ones, if there are any up to its index. */
    private fun install(store: ReplicaStore, known: Content) {
        val index = random.nextLong(known.snapshot.point.index + 1, known.lastIndex + 3)
        val term = known.hardState.term + 1
        val hardState = HardState(term, null)
        val later = known.copy(hardState = hardState)
        val next = later.copy(snapshot = snapshot(index, term, known), entries = emptyList())
        write(later, allowed.map { it.copy(hardState = hardState) }) { store.writeHardState(hardState) }
        write(next, emptyList()) { store.writeSnapshot(next.snapshot, emptyList()) }
    }

    private fun snapshot(index: Long, term: Long, known: Content): Snapshot =
        Snapshot(SnapshotPoint(index, term, known.snapshot.point.members), ControlState.EMPTY)
}

/** Returns the disk of a first voter that has voted and acknowledged entries in two batches. */
private fun usedDisk(): SimulatedDisk {
    val disk = SimulatedDisk()
    open(disk, isFirstStart = true).use { store ->
        store.writeHardState(HardState(3, SELF))
        (1L..2L).forEach { index ->
            store.writeEntries(listOf(LogEntry(index, 3, EntryPayload.Noop)))
            store.sync()
        }
    }
    return disk
}

/**
 * Starts the replica of [newDisk] with damaged files, ends it after each number of operations, with and without a loss
 * of power, and starts it again. Returns the cases in which it then votes under its old identity.
 */
private fun casesOfOldIdentity(newDisk: () -> SimulatedDisk): List<String> = (0..MAX_OPERATIONS).flatMap { operations ->
    (0..LOSSES).mapNotNull { loss ->
        val disk = newDisk()
        disk.maxOperations = disk.operations + operations
        val isCut = runCatching { open(disk, isFirstStart = true) }.exceptionOrNull() is Cut
        disk.maxOperations = Int.MAX_VALUE
        if (loss > 0) disk.losePower(Random(loss))
        val opened = open(disk, isFirstStart = true)
        "after $operations operations, loss $loss, cut $isCut: ${opened.recovered}".takeIf { opened.replica == SELF }
    }
}

/**
 * Kills a replica after each number of operations of a write, starts it again, and then lets the power fail. Returns the
 * cases in which the replica no longer has what it had found when it was started.
 */
private fun casesOfLostFindings(write: (ReplicaStore) -> Unit): List<String> =
    (0..MAX_OPERATIONS).flatMap { operations ->
        (0..LOSSES).mapNotNull { loss ->
            val disk = SimulatedDisk()
            val store = open(disk, isFirstStart = true)
            disk.maxOperations = disk.operations + operations
            val isCut = runCatching { write(store) }.exceptionOrNull() is Cut
            disk.maxOperations = Int.MAX_VALUE
            val found = open(disk, isFirstStart = true).recovered
            disk.losePower(Random(loss))
            val left = open(disk, isFirstStart = true).recovered
            "after $operations operations, loss $loss, cut $isCut: found $found, then $left".takeIf { left != found }
        }
    }

/** Fails with the number of [cases] and the first of them, if there are any. */
private fun shouldHaveNone(cases: List<String>) = withClue("${cases.size} cases") { cases.take(1).shouldBeEmpty() }

/**
 * Ends the first start after each number of operations by a kill and the second one, after each number, by a loss of
 * power. Returns the cases in which a third start doesn't make the instance a first voter.
 */
private fun casesOfNoFirstVoter(): List<String> = (0..MAX_OPERATIONS).flatMap { first ->
    (0..MAX_OPERATIONS).flatMap { second ->
        (1..LOSSES).mapNotNull { loss ->
            val disk = SimulatedDisk()
            listOf(first, second).forEach { operations ->
                disk.maxOperations = disk.operations + operations
                runCatching { open(disk, isFirstStart = true) }
            }
            disk.maxOperations = Int.MAX_VALUE
            disk.losePower(Random(loss))
            val replica = open(disk, isFirstStart = true).replica
            "after $first, then $second operations, loss $loss: $replica".takeIf { replica != SELF }
        }
    }
}

class PowerLossTest :
    DescribeSpec({
        // Guards against a voter that comes back without what it has acknowledged, or takes its files for damaged.
        describe("an instance that is killed or loses its power at any operation on its disk") {
            it("comes back as the same replica, with what it has recorded and has found at its starts") {
                val seeds = FIRST_SEED until FIRST_SEED + SEEDS
                shouldHaveNone(
                    seeds.mapNotNull { seed ->
                        PoweredInstance(seed).runOrNull()?.let { "seed $seed: $it" }
                    },
                )
            }
        }
        // Guards against a first voter that never votes, because a second start went by names that were not durable.
        describe("an instance whose first start is killed, and the second one ended by a loss of power") {
            it("becomes a first voter by the third one") {
                shouldHaveNone(casesOfNoFirstVoter())
            }
        }
        // Guards against a voter that loses votes or entries which it has found on its disk and has acted on.
        describe("an instance that is killed within a write, is started again and then loses its power") {
            it("still has the entries that it found") {
                val cases = casesOfLostFindings { store ->
                    store.writeEntries(listOf(LogEntry(1, 0, EntryPayload.Noop)))
                    store.sync()
                }
                shouldHaveNone(cases)
            }
            it("still has the vote that it found") {
                shouldHaveNone(casesOfLostFindings { it.writeHardState(HardState(1, SELF)) })
            }
        }
        // Guards against a voter that votes again under its old identity after its damaged files were deleted in part.
        describe("an instance with damaged files that is killed or loses its power while it deletes them") {
            listOf("identity", "hard-state", "snapshot", "log").forEach { name ->
                it("does not come back as the old replica if the $name is damaged") {
                    shouldHaveNone(casesOfOldIdentity { usedDisk().apply { damage(name, HEADER_BYTES) } })
                }
            }
        }
        // Guards against a voter that has acknowledged entries and starts again with an empty log.
        describe("an instance whose files are lost one by one") {
            listOf("identity", "hard-state", "snapshot", "log").forEach { name ->
                it("does not come back as the old replica without the $name") {
                    shouldHaveNone(casesOfOldIdentity { usedDisk().apply { lose(name) } })
                }
            }
        }
    })
