package marigoldward.control.usage

import marigoldward.control.exchange.ExchangePart
import marigoldward.core.time.ClockReading
import marigoldward.core.usage.TrueTimeEstimator
import marigoldward.core.usage.UsageLedger
import marigoldward.core.usage.UsageWindows
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/**
 * Gathers the usage and the times of day that entries report to the leader, and tells them the true time and which window is
 * recorded. Thread-safe.
 *
 * What was gathered in a term is forgotten in the next one, as entries report all again to the leader of a new term
 * only.
 *
 * @param recordedWindow returns the last window that is recorded, or null
 * @param term returns the present term
 * @param readClocks reads the clocks of this instance
 */
internal class UsageExchange(
    private val windows: UsageWindows,
    private val dueMillis: Long,
    private val recordedWindow: () -> Long?,
    private val term: () -> Long,
    private val readClocks: () -> ClockReading,
) : ExchangePart {
    private var ledger = UsageLedger.empty(windows, dueMillis)
    private var clocks = TrueTimeEstimator.EMPTY
    private var firstRequestMillis: Long? = null
    private var gatheredTerm: Long? = null

    @Synchronized
    override fun onRequest(request: EntryExchangeRequest, receivedMillis: Long) {
        forgetEarlierTerm(term())
        val own = readClocks()
        clocks = clocks
            .withSample(OWN_CLOCK, own.epochMillis, own.monotonicMillis)
            .withSample(request.incarnation, request.epochMillis, receivedMillis)
        if (firstRequestMillis == null) firstRequestMillis = receivedMillis
        request.usage?.let { ledger = ledger.withReport(request.incarnation, it, receivedMillis) }
    }

    @Synchronized
    override fun addTo(reply: EntryExchangeReply, request: EntryExchangeRequest): EntryExchangeReply =
        reply.copy(recordedWindow = recordedWindow(), epochMillis = epochMillisOrNull(readClocks().monotonicMillis))

    /** Returns the next window that is closed at [nowMillis] by what was gathered in [currentTerm], or null. */
    @Synchronized
    fun closedWindowOrNull(currentTerm: Long, nowMillis: Long): UsageLedger.ClosedWindow? {
        if (gatheredTerm != currentTerm) return null
        val epochMillis = epochMillisOrNull(nowMillis) ?: return null
        ledger = ledger.started(recordedWindow(), epochMillis)
        return ledger.closedWindowOrNull(nowMillis, epochMillis)
    }

    /** Records that [window] is recorded. */
    @Synchronized
    fun onRecorded(window: Long, nowMillis: Long) {
        ledger = ledger.afterRecorded(window, nowMillis)
    }

    private fun forgetEarlierTerm(currentTerm: Long) {
        if (currentTerm == gatheredTerm) return
        gatheredTerm = currentTerm
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

        /** Stands for this instance among the incarnations of entries, which are random. */
        const val OWN_CLOCK = 0L
    }
}
