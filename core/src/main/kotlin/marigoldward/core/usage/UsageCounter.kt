package marigoldward.core.usage

import marigoldward.core.time.ClockReading
import marigoldward.core.workspaces.WorkspaceName
import java.util.TreeMap

/**
 * Counts the requests of each workspace that began to run, by window, in one process, until they are recorded.
 *
 * Reports hold totals, so that one that is repeated or lost changes nothing. Has no clock and is not thread-safe.
 */
public class UsageCounter(private val windows: UsageWindows) {
    private val open = TreeMap<Long, OpenWindow>()

    /** The requests whose window is not known, by the monotonic time at which they began, in units of [HELD_MILLIS]. */
    private val held = TreeMap<Long, HashMap<String, Long>>()
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
        add(workspace.text, 1, epochMillis)
    }

    /**
     * Holds a request of [workspace] that began to run at [at] until the true time is known. For longer than a minute
     * it is not held, but counted by the time of day.
     */
    public fun hold(workspace: WorkspaceName, at: ClockReading) {
        held.getOrPut(Math.floorDiv(at.monotonicMillis, HELD_MILLIS)) { HashMap() }
            .merge(workspace.text, 1, Long::plus)
        while (held.size > MAX_HELD) {
            val (bucket, counts) = held.pollFirstEntry()
            addHeld(bucket, counts, at.epochMillis - at.monotonicMillis)
        }
    }

    /**
     * Counts the requests that are held, now that it is [epochMillis] of true time at [nowMillis] of monotonic time.
     */
    public fun releaseHeld(epochMillis: Long, nowMillis: Long) {
        held.forEach { (bucket, counts) -> addHeld(bucket, counts, epochMillis - nowMillis) }
        held.clear()
    }

    private fun addHeld(bucket: Long, counts: Map<String, Long>, offsetMillis: Long) =
        counts.forEach { (name, count) -> add(name, count, bucket * HELD_MILLIS + offsetMillis) }

    private fun add(name: String, count: Long, epochMillis: Long) {
        val window = windows.at(epochMillis)
        if (recordedWindow.let { it != null && window <= it }) {
            lostCount += count
            return
        }
        val counted = open.getOrPut(window) { OpenWindow() }
        counted.counts.merge(name, count, Long::plus)
        counted.changes++
        while (open.size > MAX_WINDOWS) lostCount += open.pollFirstEntry().value.counts.values.sum()
    }

    /**
     * Returns the report to send at [epochMillis] of true time, or null if that is not known, with the windows that
     * have changed since the leader confirmed them.
     */
    public fun report(epochMillis: Long?): SentReport {
        val changed = open.filterValues { it.changes != it.confirmedChanges }
        val report = UsageReport(
            windows = changed.map { (number, window) -> UsageReport.Window(number, window.counts.toMap()) },
            completeWindow = epochMillis?.let { windows.at(it - MAX_ANSWER_MILLIS) - 1 },
            isFull = changed.size == open.size,
        )
        return SentReport(report, changed.mapValues { it.value.changes })
    }

    /**
     * Records that the leader of [term] has received [sent], and that the windows up to [recorded] are recorded.
     *
     * A leader of another term than the one before gets all windows again, those of [sent] too: it may have received
     * them in an earlier term and forgotten them since.
     */
    public fun onConfirmed(sent: SentReport, term: Long, recorded: Long?) {
        if (term == leaderTerm) {
            sent.changes.forEach { (number, changes) -> open[number]?.confirmedChanges = changes }
        } else {
            open.values.forEach { it.confirmedChanges = NOT_CONFIRMED }
        }
        leaderTerm = term
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

        /** Short beside a window; bounds the memory for the requests that are held. */
        const val HELD_MILLIS = 100L

        /** A minute, longer than a change of the leader takes. */
        const val MAX_HELD = 600
        const val NOT_CONFIRMED = -1L
    }
}
