package marigoldward.control.storage

import marigoldward.core.replication.HardState
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.Snapshot
import java.io.IOException

/** The persistent storage of a replica. Every write may throw an [IOException]. */
internal interface ReplicaStorage : AutoCloseable {
    /** The replica whose data it is. */
    val replica: ReplicaId

    /** The data found when the storage was opened. */
    val recovered: Recovered

    /** The newest snapshot. */
    val snapshot: Snapshot

    /** Replaces the hard state; it is durable when this returns. */
    fun writeHardState(hardState: HardState)

    /**
     * Replaces all entries from the index of the first of [entries] on by [entries], which are durable after [sync].
     */
    fun writeEntries(entries: List<LogEntry>)

    /** Makes written entries durable. */
    fun sync()

    /** Drops the entries written since the last [sync], and restores those that they replaced. */
    fun rollBack()

    /** Replaces the log by [entries], which are durable when this returns. */
    fun rewriteEntries(entries: List<LogEntry>)

    /** Replaces the snapshot by [newest] and the log by [entries], which must be the entries after the snapshot. */
    fun writeSnapshot(newest: Snapshot, entries: List<LogEntry>)

    /** The data found in a storage. [tornBytes] of incomplete writes were cut off the end of the log. */
    data class Recovered(
        val hardState: HardState,
        val snapshot: Snapshot,
        val entries: List<LogEntry>,
        val tornBytes: Long,
    )
}
