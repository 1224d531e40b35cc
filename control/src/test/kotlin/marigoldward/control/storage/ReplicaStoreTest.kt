package marigoldward.control.storage

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.LostRequest
import marigoldward.core.errorOrNull
import marigoldward.core.getOrNull
import marigoldward.core.model.InstanceId
import marigoldward.core.model.UpstreamId
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.HardState
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.Members
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.Snapshot
import marigoldward.core.replication.SnapshotPoint
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread

private val SELF = ReplicaId(InstanceId.parse("control-1"), 1)
private val NEW_REPLICA = ReplicaId(InstanceId.parse("control-1"), 99)

private fun newFolder(): Path = Files.createTempDirectory("replica-store")

private fun initialisedFolder(): Path = newFolder().also { ReplicaStore.initialise(it, "cluster", SELF, setOf(SELF)) }

private fun open(folder: Path): ReplicaStore =
    ReplicaStore.open(folder, "cluster", NEW_REPLICA).getOrNull().shouldNotBeNull()

private fun entries(range: LongRange): List<LogEntry> = range.map { LogEntry(it, 1, EntryPayload.Noop) }

private fun writeEntries(folder: Path, range: LongRange): Path {
    open(folder).use { store ->
        store.writeEntries(entries(range))
        store.sync()
    }
    return folder
}

class ReplicaStoreTest :
    DescribeSpec({
        describe("a data folder") {
            // Guards against an instance that runs out of descriptors while it waits for its disk.
            it("leaves no file open if it can not be locked") {
                val disk = SimulatedDisk().apply { refusesLocks = true }
                repeat(3) { shouldThrow<IOException> { ReplicaStore.open(disk.folder, "cluster", NEW_REPLICA) } }
                disk.openChannels shouldBe 0
            }
            it("keeps what was synced") {
                val folder = writeEntries(initialisedFolder(), 1L..3L)
                open(folder).use { store ->
                    store.writeHardState(HardState(5, SELF))
                    store.recovered.entries shouldBe entries(1L..3L)
                    store.replica shouldBe SELF
                }
                open(folder).use { it.recovered.hardState shouldBe HardState(5, SELF) }
            }
            // Guards against a quarantine that is forgotten when all control processes are restarted.
            it("keeps suspected and quarantined fingerprints, in the log and in a snapshot") {
                fun crash(upstream: String, fingerprint: String, knownCrashes: Int) = ControlCommand.ReportCrash(
                    UpstreamId.parse(upstream),
                    listOf(LostRequest(listOf(LostRequest.Suspect(Fingerprint.parse(fingerprint), knownCrashes)))),
                )
                val commands =
                    listOf(
                        crash("u-0", "dead", 0),
                        crash("u-1", "dead", 1),
                        crash("u-2", "dead", 2),
                        ControlCommand.RetryQuarantined(Fingerprint.parse("dead")),
                        crash("u-3", "dead", 2),
                        crash("u-4", "ab", 0),
                        crash("u-5", "cd", 0),
                        ControlCommand.ClearSuspects(listOf(Fingerprint.parse("cd"))),
                    )
                val written = commands.mapIndexed { index, command ->
                    LogEntry(index + 1L, 1, EntryPayload.Command(command))
                }
                val state = commands.fold(ControlState.EMPTY) { before, command ->
                    ControlStateMachine.apply(before, 0, command).state
                }
                state.quarantine.isEmpty() shouldBe false
                state.suspects.size shouldBe 2
                val folder = initialisedFolder()
                open(folder).use { store ->
                    store.writeEntries(written)
                    store.sync()
                }
                open(folder).use { store ->
                    store.recovered.entries shouldBe written
                    val point = SnapshotPoint(written.last().index, 1, store.recovered.snapshot.point.members)
                    store.writeSnapshot(Snapshot(point, state), emptyList())
                }
                open(folder).use { it.recovered.snapshot.state shouldBe state }
            }
            it("that is empty gets a new incarnation that knows no members") {
                open(newFolder()).use { store ->
                    store.replica shouldBe NEW_REPLICA
                    store.recovered.snapshot.point.members.all shouldHaveSize 0
                }
            }
            it("is not initialised twice, opened twice or used by another cluster") {
                val folder = initialisedFolder()
                ReplicaStore.initialise(folder, "cluster", SELF, setOf(SELF)).errorOrNull()
                    .shouldBeInstanceOf<StorageProblem.AlreadyInitialised>()
                open(folder).use {
                    ReplicaStore.open(folder, "cluster", NEW_REPLICA).errorOrNull()
                        .shouldBeInstanceOf<StorageProblem.InUse>()
                }
                ReplicaStore.open(folder, "other", NEW_REPLICA).errorOrNull()
                    .shouldBeInstanceOf<StorageProblem.OtherCluster>()
            }
        }
        // Guards against a record that is gone because a loss of power left two names of its file.
        describe("a record whose temporary name still leads to its file") {
            it("stays whole while it is replaced") {
                val path = newFolder().resolve("hard-state")
                val file = RecordFile(path, HardState.serializer())
                file.write(HardState(1, SELF))
                Files.createLink(path.resolveSibling("hard-state.new"), path)
                val earlier = Files.createLink(path.resolveSibling("earlier"), path)
                file.write(HardState(2, SELF))
                RecordFile(earlier, HardState.serializer()).read().getOrNull() shouldBe HardState(1, SELF)
                file.read().getOrNull() shouldBe HardState(2, SELF)
            }
        }
        // A control instance that was started before its predecessor had ended, ended with exit code 2.
        describe("a data folder that another process has open") {
            it("is opened when it is free") {
                val folder = initialisedFolder()
                val predecessor = open(folder)
                val closer = thread {
                    Thread.sleep(300)
                    predecessor.close()
                }
                ReplicaStore.openWhenFree(folder, "cluster", NEW_REPLICA).getOrNull().shouldNotBeNull().close()
                closer.join()
            }
            it("is refused after a bounded time") {
                val folder = initialisedFolder()
                open(folder).use {
                    ReplicaStore.openWhenFree(folder, "cluster", NEW_REPLICA, maxWaitMillis = 200).errorOrNull()
                        .shouldBeInstanceOf<StorageProblem.InUse>()
                }
            }
        }
        describe("the log") {
            it("drops an incomplete record at the end and reports its size") {
                val folder = writeEntries(initialisedFolder(), 1L..3L)
                val log = folder.resolve("log")
                val bytes = Files.readAllBytes(log)
                Files.write(log, bytes.copyOf(bytes.size - 2))
                open(folder).use { store ->
                    store.recovered.entries shouldBe entries(1L..2L)
                    store.recovered.tornBytes shouldBeGreaterThan 0
                }
            }
            it("is refused if a durable record is damaged") {
                val folder = writeEntries(writeEntries(initialisedFolder(), 1L..3L), 4L..4L)
                val log = folder.resolve("log")
                val bytes = Files.readAllBytes(log)
                bytes[HEADER_BYTES] = (bytes[HEADER_BYTES] + 1).toByte()
                Files.write(log, bytes)
                ReplicaStore.open(folder, "cluster", NEW_REPLICA).errorOrNull() shouldBe
                    StorageProblem.Corrupt(log.toString(), 0)
            }
            it("is refused if the length of a durable record is damaged") {
                val folder = writeEntries(writeEntries(initialisedFolder(), 1L..3L), 4L..4L)
                val log = folder.resolve("log")
                val bytes = Files.readAllBytes(log)
                bytes[0] = 0x7f
                Files.write(log, bytes)
                ReplicaStore.open(folder, "cluster", NEW_REPLICA).errorOrNull()
                    .shouldBeInstanceOf<StorageProblem.Corrupt>()
            }
            it("drops records that were not synced before a loss of power, even if a later part of them is on disk") {
                val folder = writeEntries(initialisedFolder(), 1L..2L)
                val log = folder.resolve("log")
                val durableBytes = Files.size(log).toInt()
                open(folder).use { it.writeEntries(entries(3L..6L)) }
                val bytes = Files.readAllBytes(log)
                bytes.fill(0, durableBytes, durableBytes + HEADER_BYTES)
                Files.write(log, bytes)
                open(folder).use { it.recovered.entries shouldBe entries(1L..2L) }
            }
            it("drops entries that a new leader has replaced") {
                val folder = writeEntries(initialisedFolder(), 1L..5L)
                open(folder).use { store ->
                    store.writeEntries(listOf(LogEntry(3, 2, EntryPayload.Noop)))
                    store.sync()
                }
                open(folder).use { it.recovered.entries.map(LogEntry::term) shouldBe listOf(1L, 1L, 2L) }
            }
            it("rolls back a batch that was not synced") {
                val folder = writeEntries(initialisedFolder(), 1L..2L)
                open(folder).use { store ->
                    store.writeEntries(entries(3L..4L))
                    store.rollBack()
                    store.writeEntries(entries(3L..3L))
                    store.sync()
                }
                open(folder).use { it.recovered.entries shouldBe entries(1L..3L) }
            }
            it("replaces the log as a whole and goes on with the replacement") {
                val folder = writeEntries(initialisedFolder(), 1L..5L)
                open(folder).use { store ->
                    store.rewriteEntries(entries(1L..3L))
                    store.writeEntries(entries(4L..4L))
                    store.sync()
                }
                open(folder).use { it.recovered.entries shouldBe entries(1L..4L) }
            }
            // Guards against acknowledged entries that are gone after a restart, because a failed write had left a gap.
            it("restores the entries that a batch replaced which was rolled back") {
                val folder = writeEntries(initialisedFolder(), 1L..5L)
                open(folder).use { store ->
                    store.writeEntries(listOf(LogEntry(3, 2, EntryPayload.Noop)))
                    store.rollBack()
                    store.writeEntries(entries(6L..6L))
                    store.sync()
                }
                open(folder).use { it.recovered.entries shouldBe entries(1L..6L) }
            }
            it("is refused if entries are missing from it") {
                val folder = writeEntries(writeEntries(initialisedFolder(), 1L..2L), 4L..4L)
                val log = folder.resolve("log")
                ReplicaStore.open(folder, "cluster", NEW_REPLICA).errorOrNull() shouldBe
                    StorageProblem.Corrupt(log.toString(), 0)
            }
            // Guards against an entry that stays beside the one that replaced it, after an install that was cut short.
            it("replaces entries behind those that a snapshot covers, if it was cut short after the snapshot") {
                val folder = writeEntries(initialisedFolder(), 1L..3L)
                val snapshot = Snapshot(SnapshotPoint(7, 1, Members(setOf(SELF))), ControlState.EMPTY)
                RecordFile(folder.resolve("snapshot"), Snapshot.serializer()).write(snapshot)
                writeEntries(folder, 8L..9L)
                open(folder).use { store ->
                    store.recovered.entries shouldBe entries(8L..9L)
                    store.writeEntries(listOf(LogEntry(9, 2, EntryPayload.Noop)))
                    store.sync()
                }
                open(folder).use { it.recovered.entries shouldBe entries(8L..8L) + LogEntry(9, 2, EntryPayload.Noop) }
            }
            // Guards against entries of another leader behind a snapshot, with which a replica votes by a wrong last entry.
            it("drops entries of another term than the snapshot's, if an install was cut short after the snapshot") {
                val folder = writeEntries(initialisedFolder(), 1L..9L)
                val snapshot = Snapshot(SnapshotPoint(7, 2, Members(setOf(SELF))), ControlState.EMPTY)
                RecordFile(folder.resolve("snapshot"), Snapshot.serializer()).write(snapshot)
                val newEntry = LogEntry(8, 2, EntryPayload.Noop)
                open(folder).use { store ->
                    store.recovered.entries.shouldBeEmpty()
                    store.writeEntries(listOf(newEntry))
                    store.sync()
                }
                open(folder).use { it.recovered.entries shouldBe listOf(newEntry) }
            }
            // Guards against an upgrade that drops entries acknowledged after a snapshot that replaced others.
            it("keeps entries of the snapshot's leader behind one of another term") {
                val folder = writeEntries(initialisedFolder(), 1L..9L)
                val newEntries = listOf(LogEntry(8, 2, EntryPayload.Noop), LogEntry(9, 3, EntryPayload.Noop))
                open(folder).use { store ->
                    store.writeEntries(newEntries)
                    store.sync()
                }
                val snapshot = Snapshot(SnapshotPoint(7, 2, Members(setOf(SELF))), ControlState.EMPTY)
                RecordFile(folder.resolve("snapshot"), Snapshot.serializer()).write(snapshot)
                repeat(2) {
                    open(folder).use { store ->
                        store.replica shouldBe SELF
                        store.recovered.entries shouldBe newEntries
                    }
                }
            }
            // Guards against a replica that stays away while its disk is full, after a snapshot that the full disk cut short.
            listOf(1L, 2L).forEach { term ->
                it("needs no new file at a start if a snapshot of term $term was cut short after it was written") {
                    val folder = writeEntries(initialisedFolder(), 1L..9L)
                    val snapshot = Snapshot(SnapshotPoint(7, term, Members(setOf(SELF))), ControlState.EMPTY)
                    RecordFile(folder.resolve("snapshot"), Snapshot.serializer()).write(snapshot)
                    // No file can take the place of a folder that isn't empty.
                    Files.createDirectories(folder.resolve("log.new").resolve("full"))
                    val found = if (term == 1L) entries(8L..9L) else emptyList()
                    val newEntry = LogEntry(8L + found.size, 2, EntryPayload.Noop)
                    open(folder).use { store ->
                        store.recovered.entries shouldBe found
                        store.writeEntries(listOf(newEntry))
                        store.sync()
                    }
                    open(folder).use { it.recovered.entries shouldBe found + newEntry }
                }
            }
            it("keeps only entries after the snapshot") {
                val folder = writeEntries(initialisedFolder(), 1L..9L)
                open(folder).use { store ->
                    val point = SnapshotPoint(7, 1, Members(setOf(SELF)))
                    store.writeSnapshot(Snapshot(point, ControlState.EMPTY), entries(8L..9L))
                }
                open(folder).use { store ->
                    store.recovered.snapshot.point.index shouldBe 7
                    store.recovered.entries shouldBe entries(8L..9L)
                }
            }
        }
    })
