package marigoldward.core.usage

import marigoldward.core.workspaces.WorkspaceName
import java.util.TreeMap

/**
 * Counts the requests of each workspace that began to run, by window, in one process, until they are recorded.
 *
 * Reports hold totals, so that one that is repeated or lost changes nothing. Has no clock and is not thread-safe.
 */
public class UsageCounter(private val windows: UsageWindows) {
    private val open = TreeMap<Long, OpenWindow>()
    private var recordedWindow: Long? = null
    private var leaderTerm: Long? = null

    private class OpenWindow {
        val counts = HashMap<String, Long>()
        var changes = 0L
        var confirmedChanges = 0L
    }

    /** The requests that were not counted, as their window was already recorded or there were too many windows. */
    public var lostCount: Long = 0
        private set

    /** Counts a request of [workspace] that began to run at [epochMillis] of true time. */
    public fun record(workspace: WorkspaceName, epochMillis: Long) {
        val window = windows.at(epochMillis)
        if (recordedWindow.let { it != null && window <= it }) {
            lostCount++
            return
        }
        val counted = open.getOrPut(window) { OpenWindow() }
        counted.counts.merge(workspace.text, 1, Long::plus)
        counted.changes++
        while (open.size > MAX_WINDOWS) lostCount += open.pollFirstEntry().value.counts.values.sum()
    }

    /**
     * Returns the report to send at [epochMillis], with the windows that have changed since the leader confirmed them.
     */
    public fun report(epochMillis: Long): SentReport {
        val changed = open.filterValues { it.changes != it.confirmedChanges }
        val report = UsageReport(
            windows = changed.map { (number, window) -> UsageReport.Window(number, window.counts.toMap()) },
            completeWindow = windows.at(epochMillis - MAX_ANSWER_MILLIS) - 1,
        )
        return SentReport(report, changed.mapValues { it.value.changes })
    }

    /**
     * Records that the leader of [term] has received [sent], and that the windows up to [recorded] are recorded. A leader
     * of another term than the one before gets all windows again.
     */
    public fun onConfirmed(sent: SentReport, term: Long, recorded: Long?) {
        if (term != leaderTerm) open.values.forEach { it.confirmedChanges = NOT_CONFIRMED }
        leaderTerm = term
        sent.changes.forEach { (number, changes) -> open[number]?.confirmedChanges = changes }
        if (recorded == null) return
        recordedWindow = maxOf(recorded, recordedWindow ?: recorded)
        open.headMap(recorded, true).clear()
    }

    /** A report and what it covers. */
    public class SentReport internal constructor(
        /** The message to the leader. */
        public val report: UsageReport,
        internal val changes: Map<Long, Long>,
    )

    private companion object {
        /** A window of five seconds for an hour; bounds the memory while no window can be recorded. */
        const val MAX_WINDOWS = 720

        /** The time from the start of a plain request to its answer, after which the request is counted. */
        const val MAX_ANSWER_MILLIS = 2_000L
        const val NOT_CONFIRMED = -1L
    }
}
