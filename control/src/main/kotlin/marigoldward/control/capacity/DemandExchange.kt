package marigoldward.control.capacity

import marigoldward.control.exchange.ExchangePart
import marigoldward.core.capacity.DemandMeter
import marigoldward.core.model.PoolName
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/**
 * Gathers the demand that entries report to the leader. Thread-safe.
 *
 * @param entryCount returns the number of entries that follow the control instances
 */
internal class DemandExchange(private val entryCount: () -> Int) : ExchangePart {
    private var meter = DemandMeter.EMPTY

    @Synchronized
    override fun onRequest(request: EntryExchangeRequest, receivedMillis: Long) {
        if (request.demand.isNotEmpty()) {
            meter = meter.withReport(request.incarnation, request.demand, receivedMillis)
        }
    }

    override fun addTo(reply: EntryExchangeReply, request: EntryExchangeRequest): EntryExchangeReply = reply

    /** Returns the number of engines that the demand for [service] needs, or null unless most entries report theirs. */
    @Synchronized
    fun neededEnginesOrNull(service: PoolName): Double? {
        val nowMillis = MonotonicClock.nowMillis()
        val reporting = meter.reportingCount(nowMillis, MAX_REPORT_AGE_MILLIS)
        return if (reporting * 2 < entryCount()) null else meter.neededEnginesOrNull(service, nowMillis)
    }

    private companion object {
        /** Some intervals between the reports of an entry. */
        const val MAX_REPORT_AGE_MILLIS = 3_000L
    }
}
