package marigoldward.control.usage

import marigoldward.control.exchange.ExchangePart
import marigoldward.core.usage.TrueTimeEstimator
import marigoldward.core.usage.UsageLedger
import marigoldward.core.usage.UsageWindows
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/**
 * Gathers the usage and the times of day that entries report to the leader, and tells them the true time and which window is
 * recorded. Thread-safe.
 *
 * @param recordedWindow returns the last window that is recorded, or null
 */
internal class UsageExchange(
    private val windows: UsageWindows,
    private val dueMillis: Long,
    private val recordedWindow: () -> Long?,
) : ExchangePart {
    private var ledger = UsageLedger.empty(windows, dueMillis)
    private var clocks = TrueTimeEstimator.EMPTY
    private var firstRequestMillis: Long? = null

    @Synchronized
    override fun onRequest(request: EntryExchangeRequest, receivedMillis: Long) {
        clocks = clocks.withSample(request.incarnation, request.epochMillis, receivedMillis)
        if (firstRequestMillis == null) firstRequestMillis = receivedMillis
        request.usage?.let { ledger = ledger.withReport(request.incarnation, it, receivedMillis) }
        if (ledger.nextWindow == null && request.usage != null) {
            ledger = ledger.started(recordedWindow(), request.epochMillis)
        }
    }

    @Synchronized
    override fun addTo(reply: EntryExchangeReply, request: EntryExchangeRequest): EntryExchangeReply =
        reply.copy(recordedWindow = recordedWindow(), epochMillis = epochMillisOrNull(MonotonicClock.nowMillis()))

    /** Returns the next window that is closed at [nowMillis], or null. */
    @Synchronized
    fun closedWindowOrNull(nowMillis: Long): UsageLedger.ClosedWindow? {
        val epochMillis = epochMillisOrNull(nowMillis) ?: return null
        if (ledger.nextWindow == null) return null
        ledger = ledger.started(recordedWindow(), epochMillis)
        return ledger.closedWindowOrNull(nowMillis, epochMillis)
    }

    /** Records that [window] is recorded. */
    @Synchronized
    fun onRecorded(window: Long, nowMillis: Long) {
        ledger = ledger.afterRecorded(window, nowMillis)
    }

    /** Forgets what was reported, as this instance no longer leads. */
    @Synchronized
    fun clear() {
        ledger = UsageLedger.empty(windows, dueMillis)
        clocks = TrueTimeEstimator.EMPTY
        firstRequestMillis = null
    }

    /** Returns the true time, or null until the clocks of most entries are known. */
    private fun epochMillisOrNull(nowMillis: Long): Long? {
        val firstMillis = firstRequestMillis ?: return null
        return if (nowMillis - firstMillis < COLLECT_MILLIS) null else clocks.epochMillisOrNull(nowMillis)
    }

    private companion object {
        /** Longer than the interval between the requests of an entry. */
        const val COLLECT_MILLIS = 1_500L
    }
}
