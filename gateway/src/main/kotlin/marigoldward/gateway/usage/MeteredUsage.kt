package marigoldward.gateway.usage

import marigoldward.core.time.ClockReading
import marigoldward.core.usage.UsageCounter
import marigoldward.core.usage.UsageWindows
import marigoldward.core.workspaces.Workspace
import marigoldward.gateway.control.ExchangePart
import marigoldward.support.time.SystemClocks
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/**
 * Counts the requests of workspaces that began to run, in windows of [lengthMillis], and reports them to the leader of the
 * control instances. Confined to the event loop thread.
 */
internal class MeteredUsage(lengthMillis: Long, private val clocks: () -> ClockReading = SystemClocks::read) :
    ExchangePart {
    private val counter = UsageCounter(UsageWindows(lengthMillis))
    private var sent: Sent? = null
    private var trueTime: TrueTime? = null

    /** A report that was sent when the time of day was [epochMillis]. */
    private class Sent(val epochMillis: Long, val report: UsageCounter.SentReport)

    /** The true time [epochMillis] at a reading of the clocks. */
    private class TrueTime(val clocks: ClockReading, val epochMillis: Long)

    /** Counts a request of [workspace] that began to run at [monotonicMillis]. */
    fun recordBegun(workspace: Workspace, monotonicMillis: Long) {
        val now = clocks()
        val agoMillis = now.monotonicMillis - monotonicMillis
        val epochMillis = epochMillisOrNull(now)
        if (epochMillis == null) {
            counter.hold(workspace.name, ClockReading(monotonicMillis, now.epochMillis - agoMillis))
        } else {
            counter.record(workspace.name, epochMillis - agoMillis)
        }
    }

    override fun addTo(request: EntryExchangeRequest): EntryExchangeRequest {
        val report = counter.report(epochMillisOrNull(clocks()))
        sent = Sent(request.epochMillis, report)
        return request.copy(usage = report.report)
    }

    override fun onReply(reply: EntryExchangeReply, askedAt: ClockReading) {
        // A late reply to an earlier request tells nothing of the report that was sent last.
        sent?.takeIf { it.epochMillis == askedAt.epochMillis }?.let {
            counter.onConfirmed(it.report, reply.leaderTerm, reply.recordedWindow)
            sent = null
        }
        val now = clocks()
        val underWayMillis = now.monotonicMillis - askedAt.monotonicMillis
        // The leader's time is taken to be that of half of the round trip.
        reply.epochMillis?.let {
            trueTime = TrueTime(now, it + underWayMillis / 2)
            counter.releaseHeld(it + underWayMillis / 2, now.monotonicMillis)
        }
    }

    /**
     * Returns the true time, or null if the leader has told none since the clocks were set or the machine suspended.
     */
    private fun epochMillisOrNull(now: ClockReading): Long? {
        val known = trueTime ?: return null
        return now.millisSinceOrNull(known.clocks)?.let { known.epochMillis + it }
    }
}
