package marigoldward.gateway.usage

import marigoldward.core.usage.UsageCounter
import marigoldward.core.usage.UsageWindows
import marigoldward.core.workspaces.ClockReading
import marigoldward.core.workspaces.Workspace
import marigoldward.gateway.control.ExchangePart
import marigoldward.gateway.control.SystemClocks
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest

/**
 * Counts the requests of workspaces that began to run, in windows of [lengthMillis], and reports them to the leader of the
 * control instances. Confined to the event loop thread.
 */
internal class MeteredUsage(lengthMillis: Long, private val clocks: () -> ClockReading = SystemClocks::read) :
    ExchangePart {
    private val counter = UsageCounter(UsageWindows(lengthMillis))
    private var sent: UsageCounter.SentReport? = null
    private var trueTime: TrueTime? = null

    /** The true time [epochMillis] at a reading of the clocks. */
    private class TrueTime(val clocks: ClockReading, val epochMillis: Long)

    /** Counts a request of [workspace] that began to run at [monotonicMillis]. */
    fun recordBegun(workspace: Workspace, monotonicMillis: Long) {
        val now = clocks()
        counter.record(workspace.name, epochMillis(now) - (now.monotonicMillis - monotonicMillis))
    }

    override fun addTo(request: EntryExchangeRequest): EntryExchangeRequest {
        val report = counter.report(epochMillis(clocks()))
        sent = report
        return request.copy(usage = report.report)
    }

    override fun onReply(reply: EntryExchangeReply, askedAt: ClockReading) {
        sent?.let { counter.onConfirmed(it, reply.leaderTerm, reply.recordedWindow) }
        sent = null
        val now = clocks()
        val underWayMillis = now.monotonicMillis - askedAt.monotonicMillis
        // The leader's time is taken to be that of half of the round trip.
        reply.epochMillis?.let { trueTime = TrueTime(now, it + underWayMillis / 2) }
    }

    /** Returns the true time, or the time of day if the leader has told none since the clocks were set. */
    private fun epochMillis(now: ClockReading): Long {
        val known = trueTime ?: return now.epochMillis
        return now.millisSinceOrNull(known.clocks)?.let { known.epochMillis + it } ?: now.epochMillis
    }
}
