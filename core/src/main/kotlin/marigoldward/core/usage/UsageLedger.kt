package marigoldward.core.usage

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What the processes of a cluster have reported of their usage to the leader, until its windows are closed. Immutable.
 *
 * @property nextWindow the first window that is not closed, or null before the first report
 */
public class UsageLedger private constructor(
    private val windows: UsageWindows,
    private val dueMillis: Long,
    public val nextWindow: Long?,
    private val processes: PersistentMap<Long, ProcessUsage>,
) {
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

    /** Returns the ledger after the process [incarnation] sent [report], which arrived at [receivedMillis]. */
    public fun withReport(incarnation: Long, report: UsageReport, receivedMillis: Long): UsageLedger {
        val known = processes[incarnation] ?: ProcessUsage(receivedMillis, null, persistentMapOf())
        val first = nextWindow
        val counts = report.windows
            .filter { first == null || it.number >= first }
            .fold(known.counts) { counts, window -> counts.put(window.number, window.counts) }
        val complete = listOfNotNull(known.completeWindow, report.completeWindow).maxOrNull()
        return with(processes = processes.put(incarnation, ProcessUsage(receivedMillis, complete, counts)))
    }

    /**
     * Returns the ledger with the first window that may be closed, if none is known yet: the one after [recordedWindow],
     * or the one at [epochMillis] if none was ever recorded.
     */
    public fun started(recordedWindow: Long?, epochMillis: Long): UsageLedger {
        val current = windows.at(epochMillis)
        val oldest = current - MAX_OPEN_WINDOWS
        val next = recordedWindow?.let { maxOf(it + 1, oldest) } ?: nextWindow ?: current
        return if (next == nextWindow) this else with(nextWindow = next).withoutWindowsBefore(next)
    }

    /**
     * Returns the next window if it is closed at [epochMillis] of true time, or null. It is closed when every process that
     * was heard of recently has reported it whole, or when its report is nearly due.
     */
    public fun closedWindowOrNull(nowMillis: Long, epochMillis: Long): ClosedWindow? {
        val next = nextWindow ?: return null
        val sinceEndMillis = epochMillis - windows.endMillis(next)
        if (sinceEndMillis < 0) return null
        val recent = processes.values.filter { nowMillis - it.heardMillis < RECENT_MILLIS }
        val isWhole = recent.isNotEmpty() && recent.all { (it.completeWindow ?: Long.MIN_VALUE) >= next }
        if (!isWhole && sinceEndMillis < dueMillis - MARGIN_MILLIS) return null
        val counts = HashMap<String, Long>()
        processes.values.forEach { process ->
            process.counts[next].orEmpty().forEach { (workspace, count) -> counts.merge(workspace, count, Long::plus) }
        }
        return ClosedWindow(next, counts.toSortedMap(), isWhole)
    }

    /** Returns the ledger after [window] was recorded, without processes that were not heard of for long. */
    public fun afterRecorded(window: Long, nowMillis: Long): UsageLedger {
        val kept = processes.filterValues { nowMillis - it.heardMillis < FORGOTTEN_MILLIS }
        val retained = kept.entries.fold(persistentMapOf<Long, ProcessUsage>()) { map, (id, usage) ->
            map.put(id, usage)
        }
        return with(nextWindow = window + 1, processes = retained).withoutWindowsBefore(window + 1)
    }

    private fun withoutWindowsBefore(first: Long): UsageLedger {
        val cleared = processes.entries.fold(processes) { map, (id, usage) ->
            val old = usage.counts.keys.filter { it < first }
            if (old.isEmpty()) {
                map
            } else {
                map.put(
                    id,
                    usage.copy(
                        counts = old.fold(usage.counts) { it, key ->
                            it.remove(key)
                        },
                    ),
                )
            }
        }
        return with(processes = cleared)
    }

    private fun with(
        nextWindow: Long? = this.nextWindow,
        processes: PersistentMap<Long, ProcessUsage> = this.processes,
    ): UsageLedger = UsageLedger(windows, dueMillis, nextWindow, processes)

    /** Creates ledgers. */
    public companion object {
        /** Within this time a process that is cut off for some seconds is waited for. */
        private const val RECENT_MILLIS = 15_000L

        /** The time after which the counts of a process that has ended are in a recorded window. */
        private const val FORGOTTEN_MILLIS = 120_000L

        /** The time for the commit and the call between the close of a window and the time at which its report is due. */
        private const val MARGIN_MILLIS = 2_500L

        /** As many windows as processes keep. */
        private const val MAX_OPEN_WINDOWS = 720L

        /** Returns an empty ledger of [windows], whose reports are due [dueMillis] after their ends. */
        public fun empty(windows: UsageWindows, dueMillis: Long): UsageLedger =
            UsageLedger(windows, dueMillis, null, persistentMapOf())
    }
}
