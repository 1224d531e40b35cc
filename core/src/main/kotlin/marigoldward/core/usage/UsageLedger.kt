package marigoldward.core.usage

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.workspaces.WorkspaceName

/**
 * What the processes of a cluster have reported of their usage to the leader of one term, until its windows are closed.
 * Immutable.
 *
 * @property nextWindow the first window that is not closed, or null before [started]
 */
public class UsageLedger private constructor(
    private val windows: UsageWindows,
    private val dueMillis: Long,
    public val nextWindow: Long?,
    private val processes: PersistentMap<Long, ProcessUsage>,
) {
    /**
     * [completeWindow] is null until the process has sent a full report, as counts of earlier windows may be missing.
     */
    private data class ProcessUsage(
        val heardMillis: Long,
        val completeWindow: Long?,
        val counts: PersistentMap<Long, Map<String, Long>>,
    )

    /**
     * The counts of a window that gets no more.
     *
     * @property isWhole whether every process that was heard of recently has reported all its requests in the window
     */
    public data class ClosedWindow(val number: Long, val counts: Map<String, Long>, val isWhole: Boolean)

    /**
     * Returns the ledger after the process [incarnation] sent [report], which arrived at [receivedMillis].
     *
     * Ignores counts that are not positive, names that no workspace can have, and all but the [MAX_OPEN_WINDOWS] oldest
     * windows of a process, as a process whose clock is wrong by far must not take up memory.
     */
    public fun withReport(incarnation: Long, report: UsageReport, receivedMillis: Long): UsageLedger {
        val known = processes[incarnation] ?: ProcessUsage(receivedMillis, null, persistentMapOf())
        val first = nextWindow
        val counts = report.windows
            .filter { first == null || it.number >= first }
            .fold(known.counts) { counts, window -> counts.put(window.number, validCounts(window.counts)) }
        val surplus = if (counts.size > MAX_OPEN_WINDOWS) counts.keys.sorted().drop(MAX_OPEN_WINDOWS) else emptyList()
        val isComplete = report.isFull || known.completeWindow != null
        val complete = if (isComplete) listOfNotNull(known.completeWindow, report.completeWindow).maxOrNull() else null
        val usage = ProcessUsage(receivedMillis, complete, surplus.fold(counts) { kept, number -> kept.remove(number) })
        return with(processes = processes.put(incarnation, usage).withoutSurplus())
    }

    private fun validCounts(counts: Map<String, Long>): Map<String, Long> =
        counts.filter { (name, count) -> count > 0 && WorkspaceName.parseOrNull(name) != null }

    private fun PersistentMap<Long, ProcessUsage>.withoutSurplus(): PersistentMap<Long, ProcessUsage> =
        if (size <= MAX_PROCESSES) this else remove(entries.minBy { it.value.heardMillis }.key)

    /**
     * Returns the ledger with the first window that may be closed: the one after [recordedWindow], or if none was ever
     * recorded, the first one with a request.
     *
     * Windows that are long overdue and have no requests are left out: no configuration had workspaces then. The first
     * report comes up to some seconds after the first request, so windows that are not due yet are searched for
     * requests.
     */
    public fun started(recordedWindow: Long?, epochMillis: Long): UsageLedger {
        val current = windows.at(epochMillis)
        val following = listOfNotNull(nextWindow, recordedWindow?.plus(1)).maxOrNull()
        val known = following ?: windows.at(epochMillis - dueMillis)
        val emptyMillis = epochMillis - dueMillis - MAX_EMPTY_DELAY_MILLIS
        val earliest = if (following == null) current else windows.at(emptyMillis)
        val next = if (known >= earliest) known else minOf(earliest, firstWithRequestsOrNull(known) ?: earliest)
        val bounded = maxOf(next, current - MAX_OPEN_WINDOWS)
        return if (bounded == nextWindow) this else with(nextWindow = bounded).withoutWindowsBefore(bounded)
    }

    private fun firstWithRequestsOrNull(from: Long): Long? =
        processes.values.flatMap { it.counts.keys }.filter { it >= from }.minOrNull()

    /**
     * Returns the next window if it is closed at [epochMillis] of true time, or null. It is closed when every process
     * that was heard of recently has reported it whole, or when its report is nearly due. No window is closed while no
     * process is heard of, as its counts would be wrong, or no configuration has workspaces.
     */
    public fun closedWindowOrNull(nowMillis: Long, epochMillis: Long): ClosedWindow? {
        val next = nextWindow ?: return null
        val sinceEndMillis = epochMillis - windows.endMillis(next)
        if (sinceEndMillis < 0) return null
        val recent = processes.values.filter { nowMillis - it.heardMillis < RECENT_MILLIS }
        if (recent.isEmpty()) return null
        val isWhole = recent.all { (it.completeWindow ?: Long.MIN_VALUE) >= next }
        if (!isWhole && sinceEndMillis < dueMillis - MARGIN_MILLIS) return null
        val counts = HashMap<String, Long>()
        processes.values.forEach { process ->
            process.counts[next].orEmpty().forEach { (workspace, count) ->
                counts.merge(workspace, count, ::saturatedSum)
            }
        }
        return ClosedWindow(next, counts.toSortedMap(), isWhole)
    }

    /** Both are positive, so a sum that is not has overflowed. */
    private fun saturatedSum(first: Long, second: Long): Long = (first + second).takeIf { it > 0 } ?: Long.MAX_VALUE

    /** Returns the ledger after [window] was recorded, without processes that have ended. */
    public fun afterRecorded(window: Long, nowMillis: Long): UsageLedger {
        val next = maxOf(window + 1, nextWindow ?: Long.MIN_VALUE)
        val cleared = with(nextWindow = next).withoutWindowsBefore(next)
        val ended = cleared.processes.filterValues {
            it.counts.isEmpty() && nowMillis - it.heardMillis >= FORGOTTEN_MILLIS
        }
        return cleared.with(processes = ended.keys.fold(cleared.processes) { kept, id -> kept.remove(id) })
    }

    private fun withoutWindowsBefore(first: Long): UsageLedger {
        val cleared = processes.entries.fold(processes) { map, (id, usage) ->
            val old = usage.counts.keys.filter { it < first }
            if (old.isEmpty()) return@fold map
            map.put(id, usage.copy(counts = old.fold(usage.counts) { counts, number -> counts.remove(number) }))
        }
        return with(processes = cleared)
    }

    private fun with(
        nextWindow: Long? = this.nextWindow,
        processes: PersistentMap<Long, ProcessUsage> = this.processes,
    ): UsageLedger = UsageLedger(windows, dueMillis, nextWindow, processes)

    /** Creates ledgers. */
    public companion object {
        /**
         * Within this time a process that is cut off is waited for, as far as the due time of a report allows: a data
         * centre that is cut off for some seconds has a third of the requests.
         */
        private const val RECENT_MILLIS = 15_000L

        /** The time after which a process without open counts is forgotten. */
        private const val FORGOTTEN_MILLIS = 120_000L

        /**
         * The time for the commit and the call between the close of a window and the time at which its report is due.
         */
        private const val MARGIN_MILLIS = 3_000L

        /** How long after its due time a window without requests may still be recorded. */
        private const val MAX_EMPTY_DELAY_MILLIS = 60_000L

        /** As many windows as processes keep. */
        private const val MAX_OPEN_WINDOWS = 720

        /** Far more than a cluster has entries, including those that have restarted. */
        private const val MAX_PROCESSES = 2_000

        /** Returns an empty ledger of [windows], whose reports are due [dueMillis] after their ends. */
        public fun empty(windows: UsageWindows, dueMillis: Long): UsageLedger =
            UsageLedger(windows, dueMillis, null, persistentMapOf())
    }
}
