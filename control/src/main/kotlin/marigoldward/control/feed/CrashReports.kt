package marigoldward.control.feed

import io.grpc.stub.StreamObserver
import marigoldward.control.replica.PublishedStatus
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.Fingerprint
import marigoldward.support.log.EventLog
import marigoldward.wire.control.SubmitReply
import marigoldward.wire.feed.CrashCounts
import marigoldward.wire.feed.CrashReport
import marigoldward.wire.feed.CrashReportReply
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/**
 * Writes the entries' reports of crashed upstreams to the replicated log.
 *
 * @param submit commits a command and passes its outcome on, or returns false if too many requests wait
 * @param status returns the status of this instance's replica
 */
internal class CrashReports(
    private val submit: (ControlCommand, (SubmitReply) -> Unit) -> Boolean,
    private val status: () -> PublishedStatus,
) {
    private val quarantineTimer = QuarantineTimer()

    @Volatile
    private var state = ControlState.EMPTY

    /** The version of [crashCounts]. */
    val version: Long get() = state.quarantineVersion

    /** The crashes under suspected requests, as of the newest applied state. */
    val crashCounts: CrashCounts
        get() {
            val current = state
            val fingerprints = current.suspects.keys + current.quarantine.keys
            return CrashCounts(current.quarantineVersion, fingerprints.map { entry(current, it) })
        }

    /** Records the newest applied state, and logs which fingerprints were quarantined or released by it. */
    fun onStateChanged(newState: ControlState) {
        val before = state
        state = newState
        if (before.quarantine === newState.quarantine) return
        (newState.quarantine.keys - before.quarantine.keys).forEach { fingerprint ->
            log.warn("request_quarantined") {
                field("fingerprint", fingerprint)
                field("common", newState.suspects[fingerprint]?.common?.joinToString(","))
                field("reason", newState.quarantine[fingerprint])
            }
        }
        (before.quarantine.keys - newState.quarantine.keys).forEach { fingerprint ->
            log.info("quarantine_ended") { field("fingerprint", fingerprint) }
        }
    }

    /** Starts the trial of each fingerprint whose quarantine is over, if this instance leads. Called by one thread. */
    fun startDueTrials(nowMillis: Long) {
        quarantineTimer.due(state, status().isLeader, nowMillis).forEach { fingerprint ->
            log.info("quarantine_on_trial") { field("fingerprint", fingerprint) }
            submit(ControlCommand.RetryQuarantined(fingerprint)) { reply ->
                if (reply !is SubmitReply.Committed) log.info("trial_not_started") { field("outcome", reply) }
            }
        }
    }

    /** Submits what [report] adds to the state, and replies once all of it is committed or one part has failed. */
    fun report(report: CrashReport, observer: StreamObserver<CrashReportReply>) {
        val current = status()
        if (!current.isLeader) return reply(observer, CrashReportReply(isCommitted = false, current.leader))
        val commands = newCommands(report)
        if (commands.isEmpty()) return reply(observer, CrashReportReply(isCommitted = true, current.leader))
        logReport(report, commands.size)
        val pendingReplies = PendingReplies(commands.size, observer)
        commands.forEach { command ->
            val isQueued = submit(command, pendingReplies::onReply)
            if (!isQueued) pendingReplies.onReply(SubmitReply.Refused("too many requests are waiting"))
        }
    }

    private fun entry(state: ControlState, fingerprint: Fingerprint): CrashCounts.Entry {
        val suspicion = state.suspects[fingerprint]
        val refused = suspicion?.common ?: setOf(fingerprint)
        val quarantined = CrashCounts.Quarantined(refused.toList()).takeIf { fingerprint in state.quarantine }
        return CrashCounts.Entry(fingerprint, suspicion?.crashes?.size ?: 0, quarantined)
    }

    /** Returns the commands for [report] that would change the state. */
    private fun newCommands(report: CrashReport): List<ControlCommand> {
        val snapshot = state
        val crashes = report.crashes.map { ControlCommand.ReportCrash(it.upstream, it.requests, it.startedUnixMillis) }
        return (listOf(ControlCommand.ClearSuspects(report.answered)) + crashes)
            .filter { ControlStateMachine.apply(snapshot, 0, it).state !== snapshot }
    }

    private fun logReport(report: CrashReport, commands: Int) {
        log.info("crashes_reported") {
            field("upstreams", report.crashes.joinToString(",") { it.upstream.text })
            field("requests", report.crashes.sumOf { it.requests.size })
            field("answered", report.answered.size)
            field("commands", commands)
        }
    }

    private fun reply(observer: StreamObserver<CrashReportReply>, reply: CrashReportReply) {
        observer.onNext(reply)
        observer.onCompleted()
    }

    /** Collects the replies to the commands of one report, and answers its sender once. */
    private inner class PendingReplies(count: Int, private val observer: StreamObserver<CrashReportReply>) {
        private val remaining = AtomicInteger(count)
        private val isAnswered = AtomicBoolean()

        fun onReply(result: SubmitReply) {
            when (result) {
                is SubmitReply.Committed -> if (remaining.decrementAndGet() == 0) answer(isCommitted = true)
                is SubmitReply.NotLeader, is SubmitReply.Refused, SubmitReply.Unknown -> answer(isCommitted = false)
            }
        }

        private fun answer(isCommitted: Boolean) {
            if (!isAnswered.compareAndSet(false, true)) return
            runCatching { reply(observer, CrashReportReply(isCommitted, status().leader)) }.onFailure { failure ->
                log.info("crash_report_reply_lost") { field("reason", failure) }
            }
        }
    }

    private companion object {
        val log = EventLog.fromName("crashes")
    }
}
