package marigoldward.control.cluster

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import marigoldward.control.storage.Cut
import marigoldward.control.storage.HEADER_BYTES
import marigoldward.control.storage.ReplicaStore
import marigoldward.control.storage.SimulatedDisk
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.HardState
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.ReplicaId
import marigoldward.support.program.KeyFile
import marigoldward.wire.rpc.ClusterAccess
import marigoldward.wire.rpc.ClusterIdentity
import java.net.InetSocketAddress
import kotlin.random.Random

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

class PowerLossTest :
    DescribeSpec({
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
        // Guards against a voter that has lost a part of its files and votes under its old identity.
        describe("an instance whose files are lost one by one") {
            listOf("identity", "hard-state", "snapshot", "log").forEach { name ->
                it("does not come back as the old replica without the $name") {
                    shouldHaveNone(casesOfOldIdentity { usedDisk().apply { lose(name) } })
                }
            }
        }
    })
