package marigoldward.core.replication

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/**
 * The log entries that follow a snapshot. Immutable.
 *
 * @property snapshotPoint the position of the last entry that the snapshot covers
 * @property members the members as of the last entry, which may be uncommitted
 * @property membersIndex the index of the entry that set [members], or of the snapshot if it covers that entry
 */
public class ReplicaLog private constructor(
    public val snapshotPoint: SnapshotPoint,
    private val entries: PersistentList<LogEntry>,
    public val members: Members,
    public val membersIndex: Long,
) {
    /** The index of the last entry, or of the snapshot if no entry follows it. */
    public val lastIndex: Long get() = snapshotPoint.index + entries.size

    /** The term of the last entry, or of the snapshot if no entry follows it. */
    public val lastTerm: Long get() = entries.lastOrNull()?.term ?: snapshotPoint.term

    /** The number of entries after the snapshot. */
    public val size: Int get() = entries.size

    /** Returns the term of the entry at [index], or null if the index is before the snapshot or after the end. */
    public fun termAtOrNull(index: Long): Long? = when {
        index == snapshotPoint.index -> snapshotPoint.term
        index < snapshotPoint.index || index > lastIndex -> null
        else -> entryAt(index).term
    }

    /**
     * Returns the entry at [index].
     *
     * @throws IndexOutOfBoundsException if the snapshot covers the index or it is after the end
     */
    public fun entryAt(index: Long): LogEntry = entries[(index - snapshotPoint.index - 1).toInt()]

    /** Returns the entries from [first] to [last], both inclusive, or an empty list if [first] is after [last]. */
    public fun slice(first: Long, last: Long): List<LogEntry> = if (first > last) {
        emptyList()
    } else {
        entries.subList((first - snapshotPoint.index - 1).toInt(), (last - snapshotPoint.index).toInt())
    }

    /**
     * Returns the log with [entry] appended.
     *
     * @throws IllegalStateException if the index of [entry] is not the next one
     */
    public fun plus(entry: LogEntry): ReplicaLog {
        check(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow entry $lastIndex" }
        val payload = entry.payload
        val extended = entries.add(entry)
        return if (payload is EntryPayload.MembersChange) {
            ReplicaLog(snapshotPoint, extended, payload.members, entry.index)
        } else {
            ReplicaLog(snapshotPoint, extended, members, membersIndex)
        }
    }

    /**
     * Returns the log without the entry at [index] and all later ones.
     *
     * @throws IllegalStateException if the snapshot covers the index
     */
    public fun truncatedFrom(index: Long): ReplicaLog {
        check(index > snapshotPoint.index) {
            "entry $index is covered by the snapshot up to entry ${snapshotPoint.index}"
        }
        val kept = entries.subList(0, (index - snapshotPoint.index - 1).toInt()).toPersistentList()
        return fromEntries(snapshotPoint, kept)
    }

    /**
     * Returns the log without the entries up to and including [index], which a snapshot now covers.
     *
     * @throws IllegalStateException if [index] is after the end
     */
    public fun compactedTo(index: Long): ReplicaLog {
        if (index <= snapshotPoint.index) return this
        val term = checkNotNull(termAtOrNull(index)) { "entry $index is after the last entry $lastIndex" }
        val point = SnapshotPoint(index, term, membersAt(index))
        val kept = entries.subList((index - snapshotPoint.index).toInt(), entries.size).toPersistentList()
        return ReplicaLog(point, kept, members, maxOf(membersIndex, index))
    }

    /** Returns the members as of the entry at [index]. */
    public fun membersAt(index: Long): Members {
        if (index >= membersIndex) return members
        val change = slice(snapshotPoint.index + 1, index).lastOrNull { it.payload is EntryPayload.MembersChange }
        return (change?.payload as? EntryPayload.MembersChange)?.members ?: snapshotPoint.members
    }

    /** Creates logs. */
    public companion object {
        /** Returns the log of [entries], which follow the snapshot at [snapshotPoint]. */
        public fun fromEntries(snapshotPoint: SnapshotPoint, entries: List<LogEntry>): ReplicaLog {
            val change = entries.lastOrNull { it.payload is EntryPayload.MembersChange }
            val members = (change?.payload as? EntryPayload.MembersChange)?.members ?: snapshotPoint.members
            return ReplicaLog(snapshotPoint, entries.toPersistentList(), members, change?.index ?: snapshotPoint.index)
        }
    }
}
