package marigoldward.control.usage

import marigoldward.control.duties.DutyHolding
import marigoldward.control.duties.DutyMetrics
import marigoldward.control.duties.ProviderCalls
import marigoldward.control.duties.ProviderDuty
import marigoldward.control.replica.LeaderTerm
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.RecordedUsage
import marigoldward.core.model.FencingToken
import marigoldward.core.usage.UsageReporting
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.support.time.SystemClocks
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
    leaderTerm: LeaderTerm,
    private val exchange: UsageExchange,
    minCallIntervalMillis: Long,
    private val recorded: () -> RecordedUsage,
    private val submit: (ControlCommand) -> SubmitReply,
) : AutoCloseable {
    private data object Poll

    private val holding = DutyHolding(ProviderDuty.USAGE_REPORTS, holder, leaderTerm)
    private var reporting = UsageReporting.withInterval(minCallIntervalMillis)
    private val resultsLog = UsageResultsLog()
    private val thread: Duty<Poll> = Duty.start("usage", RING_EVENTS) { work() }

    /** Requests one round of the duty. */
    fun poll() {
        thread.offer(Poll)
    }

    override fun close() = thread.close()

    private fun work() {
        holding.refresh()
        val held = holding.token ?: return
        recordClosedWindows(held)
        reporting.unmarkedWindows(recorded()).take(MAX_MARKED_AT_ONCE).forEach(::mark)
        reportOldest(held)
        DutyMetrics.recordDue(ProviderDuty.USAGE_REPORTS, recorded().unreported.size)
    }

    private fun recordClosedWindows(held: FencingToken) {
        repeat(MAX_RECORDED_AT_ONCE) {
            val nowMillis = MonotonicClock.nowMillis()
            val closed = exchange.closedWindowOrNull(held.number, nowMillis) ?: return
            val reply = submit(ControlCommand.RecordUsage(closed.number, closed.counts))
            log.info("usage_recorded") {
                field("window", closed.number)
                field("workspaces", closed.counts.size)
                field("requests", closed.counts.values.sum())
                field("whole", closed.isWhole)
                field("outcome", reply)
            }
            // Whether one that is unknown was recorded shows in the state when the next round begins.
            if (reply !is SubmitReply.Committed || reply.outcome != ControlOutcome.Done) return
            exchange.onRecorded(closed.number, nowMillis)
        }
    }

    private fun reportOldest(held: FencingToken) {
        val startMillis = MonotonicClock.nowMillis()
        if (reporting.nextWindowOrNull(recorded(), held, startMillis) == null) return
        val confirmed = holding.confirmedOrNull() ?: return
        // Read after the confirmation, so that the counts are those of the newest state.
        val state = recorded()
        val window = reporting.nextWindowOrNull(state, held, startMillis) ?: return
        val counts = state.unreported.getValue(window).counts
        val result = calls.reportUsage(ProviderCalls.UsageCall(holder, held, window, counts)) {
            confirmed.mayWriteAt(SystemClocks.read())
        }
        val nowMillis = MonotonicClock.nowMillis()
        resultsLog.record(window, held, result, nowMillis - startMillis, nowMillis)
        DutyMetrics.recordCall(ProviderDuty.USAGE_REPORTS, result)
        if (result == ProviderCalls.CallResult.Accepted) DutyMetrics.recordWindow(window)
        reporting = reporting.afterCall(window, held, toResult(result), state, nowMillis)
        reporting.unmarkedWindows(recorded()).filter { it == window }.forEach(::mark)
    }

    private fun mark(window: Long) {
        submit(ControlCommand.MarkUsageReported(window))
    }

    private fun toResult(result: ProviderCalls.CallResult): UsageReporting.Result = when (result) {
        ProviderCalls.CallResult.Accepted -> UsageReporting.Result.ACCEPTED
        ProviderCalls.CallResult.Conflict -> UsageReporting.Result.TOKEN_OUTDATED
        // The provider would refuse this window again, and those after it are still due.
        is ProviderCalls.CallResult.Refused -> UsageReporting.Result.REFUSED
        is ProviderCalls.CallResult.NotSent -> UsageReporting.Result.NOT_SENT
        is ProviderCalls.CallResult.TryLater, is ProviderCalls.CallResult.Unknown -> UsageReporting.Result.REPEATABLE
    }

    private companion object {
        const val RING_EVENTS = 2

        /** Bounds one round after a time without a leader. */
        const val MAX_RECORDED_AT_ONCE = 20

        /** Bounds one round after a time in which no mark was committed. */
        const val MAX_MARKED_AT_ONCE = 5
        val log = EventLog.fromName("usage")
    }
}
