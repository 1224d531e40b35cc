package marigoldward.core.dispatch

/**
 * One gateway's share of the budget from which all gateways take retries of requests to one service.
 *
 * The budget of a window is [ratio] times its requests, plus [slack]. A gateway uses only [USABLE_FRACTION] of its
 * share, because the windows slide and the number of gateways that it knows is some seconds old.
 */
public class RetryBudgetShare(private val ratio: Double, private val slack: Int, private val windowMillis: Long) {
    private val requestTimes = ArrayDeque<Long>()
    private val retryTimes = ArrayDeque<Long>()

    /** Counts a request that arrived at [nowMillis]. */
    public fun recordRequest(nowMillis: Long) {
        removeExpired(nowMillis)
        requestTimes.addLast(nowMillis)
    }

    /** Takes one retry from the share of one of [gateways] gateways; returns false if nothing is left. */
    public fun tryTake(gateways: Int, nowMillis: Long): Boolean {
        removeExpired(nowMillis)
        val share = USABLE_FRACTION * (ratio * requestTimes.size + slack.toDouble() / maxOf(1, gateways))
        if (retryTimes.size + 1 > share) return false
        retryTimes.addLast(nowMillis)
        return true
    }

    private fun removeExpired(nowMillis: Long) {
        while (requestTimes.isNotEmpty() && requestTimes.first() <= nowMillis - windowMillis) requestTimes.removeFirst()
        while (retryTimes.isNotEmpty() && retryTimes.first() <= nowMillis - windowMillis) retryTimes.removeFirst()
    }

    private companion object {
        const val USABLE_FRACTION = 0.75
    }
}
