package marigoldward.control.storage

import marigoldward.core.Outcome
import marigoldward.core.control.ControlState
import marigoldward.core.errorOrNull
import marigoldward.core.flatMap
import marigoldward.core.map
import marigoldward.core.replication.HardState
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.Members
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.Snapshot
import marigoldward.core.replication.SnapshotPoint
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.io.IOException
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** The data folder of a replica, with the files of its identity, hard state, snapshot and log. */
internal class ReplicaStore private constructor(
    private val folder: Path,
    private val lock: FileLock,
    override val replica: ReplicaId,
    private val log: EntryLog,
    override val recovered: ReplicaStorage.Recovered,
) : ReplicaStorage {
    private val hardStateFile = RecordFile(folder.resolve(HARD_STATE), HardState.serializer())
    private val snapshotFile = RecordFile(folder.resolve(SNAPSHOT), Snapshot.serializer())

    override var snapshot: Snapshot = recovered.snapshot
        private set

    /** The size of the log file in bytes. */
    val logBytes: Long get() = log.sizeBytes

    /** The size of the snapshot file in bytes. */
    val snapshotBytes: Long get() = Files.size(folder.resolve(SNAPSHOT))

    override fun writeHardState(hardState: HardState) {
        hardStateFile.write(hardState)
    }

    override fun writeEntries(entries: List<LogEntry>) {
        log.write(entries)
    }

    override fun sync() {
        log.sync()
    }

    override fun rollBack() {
        log.rollBack()
    }

    override fun rewriteEntries(entries: List<LogEntry>) {
        log.rewrite(entries)
    }

    override fun writeSnapshot(newest: Snapshot, entries: List<LogEntry>) {
        snapshotFile.write(newest)
        snapshot = newest
        log.rewrite(entries)
    }

    override fun close() {
        log.close()
        lock.channel().close()
    }

    companion object {
        private const val IDENTITY = "identity"
        private const val HARD_STATE = "hard-state"
        private const val SNAPSHOT = "snapshot"
        private const val LOG = "log"
        private const val LOCK = "lock"
        private const val CLEARED = "cleared"
        private const val MAX_WAIT_MILLIS = 5_000L
        private const val RETRY_MILLIS = 50L
        private val eventLog = EventLog.fromName("storage")

        /** Prepares [folder] for one of the first replicas of a new cluster, whose members are [voters]. */
        fun initialise(
            folder: Path,
            clusterId: String,
            self: ReplicaId,
            voters: Set<ReplicaId>,
        ): Outcome<Unit, StorageProblem> {
            Files.createDirectories(folder)
            if (listOf(IDENTITY, CLEARED).any { Files.exists(folder.resolve(it)) }) {
                return Outcome.Failure(StorageProblem.AlreadyInitialised(folder.toString()))
            }
            writeInitialFiles(folder, clusterId, self, Members(voters))
            return Outcome.Success(Unit)
        }

        /**
         * Returns whether no replica can have run with [folder]: it lacks the identity, which is written last, before
         * the replica starts, and the log, and wasn't cleared. Other files may be those of a start that was cut short.
         */
        fun isUnused(folder: Path): Boolean = listOf(IDENTITY, LOG, CLEARED).none { Files.exists(folder.resolve(it)) }

        /**
         * Deletes the files of a replica from [folder], which the next [open] gives to a new replica.
         *
         * A durable file marks the folder before the first deletion and until the files of the new replica are durable.
         * So what a kill or a loss of power leaves in between is never taken for the old replica or for a first start.
         *
         * @throws IOException if the folder can't be written
         */
        fun clear(folder: Path) {
            FileChannel.open(folder.resolve(CLEARED), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
                .use { it.force(true) }
            syncFolder(folder)
            listOf(IDENTITY, HARD_STATE, SNAPSHOT, LOG).forEach { Files.deleteIfExists(folder.resolve(it)) }
            syncFolder(folder)
        }

        /**
         * Opens [folder] and locks it. An empty one is given to [newReplica], which knows no members yet.
         *
         * @throws IOException if the folder can't be read or written
         */
        fun open(folder: Path, clusterId: String, newReplica: ReplicaId): Outcome<ReplicaStore, StorageProblem> {
            Files.createDirectories(folder)
            val lock = lockOrNull(folder) ?: return Outcome.Failure(StorageProblem.InUse(folder.toString()))
            var opened: Outcome<ReplicaStore, StorageProblem>? = null
            try {
                opened = openLocked(folder, clusterId, newReplica, lock)
                return opened
            } finally {
                // An exception must release the lock too, or no later attempt of this process gets it.
                if (opened !is Outcome.Success) lock.channel().close()
            }
        }

        /**
         * Returns the same as [open], but waits for [maxWaitMillis] for a folder that another process has open: the one
         * that this process replaces may still be ending.
         *
         * @throws IOException if the folder can't be read or written
         */
        fun openWhenFree(
            folder: Path,
            clusterId: String,
            newReplica: ReplicaId,
            maxWaitMillis: Long = MAX_WAIT_MILLIS,
        ): Outcome<ReplicaStore, StorageProblem> {
            val startMillis = MonotonicClock.nowMillis()
            var isLogged = false
            while (true) {
                val opened = open(folder, clusterId, newReplica)
                val waitedMillis = MonotonicClock.nowMillis() - startMillis
                if (opened.errorOrNull() !is StorageProblem.InUse || waitedMillis >= maxWaitMillis) {
                    if (isLogged) eventLog.info("data_folder_awaited") { field("waited_ms", waitedMillis) }
                    return opened
                }
                if (!isLogged) {
                    eventLog.warn("data_folder_in_use") {
                        field("folder", folder)
                        field("max_wait_ms", maxWaitMillis)
                    }
                }
                isLogged = true
                Thread.sleep(RETRY_MILLIS)
            }
        }

        private fun openLocked(
            folder: Path,
            clusterId: String,
            newReplica: ReplicaId,
            lock: FileLock,
        ): Outcome<ReplicaStore, StorageProblem> {
            // A process that was killed may have left names without a sync; nothing may follow from them before it.
            syncFolder(folder)
            val wasCleared = Files.exists(folder.resolve(CLEARED))
            if (wasCleared) clear(folder)
            if (!Files.exists(folder.resolve(IDENTITY))) {
                val isEmpty = listOf(HARD_STATE, SNAPSHOT, LOG).none { Files.exists(folder.resolve(it)) }
                if (!isEmpty) return Outcome.Failure(StorageProblem.Corrupt(folder.resolve(IDENTITY).toString(), 0))
                writeInitialFiles(folder, clusterId, newReplica, Members(emptySet()))
            }
            if (wasCleared) {
                Files.delete(folder.resolve(CLEARED))
                syncFolder(folder)
            }
            return readIdentity(folder, clusterId).flatMap { identity -> recover(folder, lock, identity) }
        }

        private fun writeInitialFiles(folder: Path, clusterId: String, self: ReplicaId, members: Members) {
            val snapshot = Snapshot(SnapshotPoint(0, 0, members), ControlState.EMPTY)
            RecordFile(folder.resolve(SNAPSHOT), Snapshot.serializer()).write(snapshot)
            RecordFile(folder.resolve(HARD_STATE), HardState.serializer()).write(HardState.INITIAL)
            val identity = ReplicaIdentity(clusterId, self)
            RecordFile(folder.resolve(IDENTITY), ReplicaIdentity.serializer()).write(identity)
        }

        private fun readIdentity(folder: Path, clusterId: String): Outcome<ReplicaIdentity, StorageProblem> =
            readRequired(folder, IDENTITY, RecordFile(folder.resolve(IDENTITY), ReplicaIdentity.serializer()))
                .flatMap { identity ->
                    if (identity.clusterId == clusterId) {
                        Outcome.Success(identity)
                    } else {
                        Outcome.Failure(StorageProblem.OtherCluster(identity.clusterId, clusterId))
                    }
                }

        private fun recover(
            folder: Path,
            lock: FileLock,
            identity: ReplicaIdentity,
        ): Outcome<ReplicaStore, StorageProblem> {
            val hardStateFile = RecordFile(folder.resolve(HARD_STATE), HardState.serializer())
            val snapshotFile = RecordFile(folder.resolve(SNAPSHOT), Snapshot.serializer())
            return readRequired(folder, HARD_STATE, hardStateFile).flatMap { hardState ->
                readRequired(folder, SNAPSHOT, snapshotFile).flatMap { snapshot ->
                    val isFirstOpening = hardState == HardState.INITIAL && snapshot.point.index == 0L
                    openLog(folder.resolve(LOG), snapshot.point, mayBeMissing = isFirstOpening).map { opened ->
                        val recovered = ReplicaStorage.Recovered(hardState, snapshot, opened.entries, opened.tornBytes)
                        ReplicaStore(folder, lock, identity.replica, opened.log, recovered)
                    }
                }
            }
        }

        /**
         * Opens the log at [path], with the entries after the snapshot at [point], none of which may lack.
         *
         * A replica's log is durable before it records anything else, so the file [mayBeMissing] only until then.
         * Entries that are dropped stay in the file, since a start must not need space on the disk: the next ones replace
         * those after the snapshot, and the next snapshot those that it covers.
         *
         * The entries after the snapshot are either those of the log that the snapshot replaced or were written after it.
         * The first one decides, as the later ones were added behind it: terms never decrease along a log, so it can't
         * follow the snapshot if its term is older. Entries that the log of the snapshot's leader lacks may be kept if
         * their term is not older. They were never committed, and lose elections and are replaced as before the snapshot.
         */
        private fun openLog(
            path: Path,
            point: SnapshotPoint,
            mayBeMissing: Boolean,
        ): Outcome<EntryLog.Opened, StorageProblem> {
            if (!mayBeMissing && !Files.exists(path)) return Outcome.Failure(StorageProblem.Corrupt(path.toString(), 0))
            return EntryLog.open(path).flatMap { opened ->
                val later = opened.entries.filter { it.index > point.index }
                val areReplaced = later.isNotEmpty() && later.first().term < point.term
                val entries = if (areReplaced) emptyList() else later
                val isGapless = entries.withIndex().all { (offset, entry) -> entry.index == point.index + 1 + offset }
                if (isGapless) {
                    Outcome.Success(opened.copy(entries = entries))
                } else {
                    opened.log.close()
                    Outcome.Failure(StorageProblem.Corrupt(path.toString(), 0))
                }
            }
        }

        private fun <T : Any> readRequired(
            folder: Path,
            name: String,
            file: RecordFile<T>,
        ): Outcome<T, StorageProblem> = file.read().flatMap { value ->
            if (value == null) {
                Outcome.Failure(StorageProblem.Corrupt(folder.resolve(name).toString(), 0))
            } else {
                Outcome.Success(value)
            }
        }

        private fun lockOrNull(folder: Path): FileLock? {
            val path = folder.resolve(LOCK)
            val channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
            val lock =
                try {
                    channel.tryLock()
                } catch (_: OverlappingFileLockException) {
                    null
                } catch (failure: IOException) {
                    channel.close()
                    throw failure
                }
            if (lock == null) channel.close()
            return lock
        }
    }
}
