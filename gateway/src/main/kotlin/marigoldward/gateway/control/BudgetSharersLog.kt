package marigoldward.gateway.control

import marigoldward.gateway.GatewayMetrics
import marigoldward.support.log.EventLog

/** Logs each change of the number of gateways that share the slack of the retry budgets, and publishes the number. */
internal class BudgetSharersLog(private var count: Int, startedMillis: Long) {
    private var sinceMillis = startedMillis

    /** Records that [current] is in use after a report of [reported] gateways, or null if time alone has passed. */
    fun record(current: Int, reported: Int?, isFresh: Boolean, nowMillis: Long) {
        GatewayMetrics.budgetSharers.set(current.toDouble())
        if (current == count) return
        log.info("budget_sharers_changed") {
            field("old", count)
            field("new", current)
            field("age_ms", nowMillis - sinceMillis)
            field("reported", reported)
            field("fresh", isFresh)
        }
        count = current
        sinceMillis = nowMillis
    }

    private companion object {
        val log = EventLog.fromName("budget")
    }
}
