package marigoldward.control.usage

import marigoldward.control.duties.DutyMetrics
import marigoldward.control.duties.ProviderCalls
import marigoldward.control.duties.ProviderDuty
import marigoldward.control.replica.LeaderTerm
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.RecordedUsage
import marigoldward.core.model.FencingToken
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.control.SubmitReply

/**
 * Records the usage of each window in the replicated log and reports it to the provider, while this replica leads. One
 * thread does one call at a time, so that reports go out in order.
 *
 * The counts of a window are recorded before the first call that carries them, so that every call for it carries the same
 * counts, whichever instance makes it.
 *
 * @param holder the name under which this instance performs the duty
 * @param recorded returns the recorded windows as of the newest applied state
 * @param submit commits a command and returns its outcome
 */
internal class UsageDuty(
    private val holder: String,
    private val calls: ProviderCalls,
    private val leaderTerm: LeaderTerm,
    private val exchange: UsageExchange,
    private val minCallIntervalMillis: Long,
    private val recorded: () -> RecordedUsage,
    private val submit: (ControlCommand) -> SubmitReply,
) : AutoCloseable {
    private data object Poll

    private var token: FencingToken? = null
    private var refusedToken: FencingToken? = null
    private var nextCallMillis = Long.MIN_VALUE
    private var failures = 0
    private val thread: Duty<Poll> = Duty.start("usage", RING_EVENTS) { work() }

    /** Requests one round of the duty. */
    fun poll() {
        thread.offer(Poll)
    }

    override fun close() = thread.close()

    private fun work() {
        val current = leaderTerm.tokenOrNull()
        if (current == null) {
            if (token != null) exchange.clear()
            token = null
            return
        }
        if (current != token) DutyMetrics.recordHolder(ProviderDuty.USAGE_REPORTS, holder, current)
        token = current
        recordClosedWindows()
        reportOldest()
        DutyMetrics.recordDue(ProviderDuty.USAGE_REPORTS, recorded().unreported.size)
    }

    private fun recordClosedWindows() {
        repeat(MAX_RECORDED_AT_ONCE) {
            val nowMillis = MonotonicClock.nowMillis()
            val closed = exchange.closedWindowOrNull(nowMillis) ?: return
            val reply = submit(ControlCommand.RecordUsage(closed.number, closed.counts))
            log.info("usage_recorded") {
                field("window", closed.number)
                field("workspaces", closed.counts.size)
                field("requests", closed.counts.values.sum())
                field("whole", closed.isWhole)
                field("outcome", reply)
            }
            // Whether one that is unknown was recorded shows in the state when the next round begins.
            if (reply !is SubmitReply.Committed) return
            if (reply.outcome == ControlOutcome.Done) exchange.onRecorded(closed.number, nowMillis)
        }
    }

    private fun reportOldest() {
        val nowMillis = MonotonicClock.nowMillis()
        if (token == refusedToken || nowMillis < nextCallMillis) return
        val (window, counts) = recorded().unreported.entries.minByOrNull { it.key } ?: return
        val current = leaderTerm.tokenOrNull() ?: return
        if (current != token) return
        val result = calls.reportUsage(ProviderCalls.UsageCall(holder, current, window, counts))
        log.info("usage_reported") {
            field("window", window)
            field("token", current)
            field("result", result)
            field("took_ms", MonotonicClock.nowMillis() - nowMillis)
        }
        onResult(window, result)
    }

    private fun onResult(window: Long, result: ProviderCalls.CallResult) {
        DutyMetrics.recordCall(ProviderDuty.USAGE_REPORTS, result)
        failures = if (result == ProviderCalls.CallResult.Accepted) 0 else failures + 1
        val backoffMillis = minOf(MAX_BACKOFF_MILLIS, minCallIntervalMillis * (1L shl minOf(failures, MAX_DOUBLINGS)))
        nextCallMillis = MonotonicClock.nowMillis() + backoffMillis
        when (result) {
            ProviderCalls.CallResult.Accepted -> {
                DutyMetrics.recordWindow(window)
                submit(ControlCommand.MarkUsageReported(window))
            }
            // The provider would refuse this window again, and those after it are still due.
            is ProviderCalls.CallResult.Refused -> submit(ControlCommand.MarkUsageReported(window))
            ProviderCalls.CallResult.Conflict -> refusedToken = token
            is ProviderCalls.CallResult.TryLater, is ProviderCalls.CallResult.Unknown -> Unit
        }
    }

    private companion object {
        const val RING_EVENTS = 2

        /** Bounds one round after a time without a leader. */
        const val MAX_RECORDED_AT_ONCE = 20
        const val MAX_BACKOFF_MILLIS = 1_000L
        const val MAX_DOUBLINGS = 6
        val log = EventLog.fromName("usage")
    }
}
