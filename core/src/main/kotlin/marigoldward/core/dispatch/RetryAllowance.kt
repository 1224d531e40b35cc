package marigoldward.core.dispatch

/**
 * One entry's part of the budget that all entries share for sending requests to a service more than once.
 *
 * The budget is [ratio] times the requests of a window and [slack] more. An entry spends [USED_PART] of its own part:
 * windows slide, and the number of entries is known only as of some seconds ago.
 */
public class RetryAllowance(private val ratio: Double, private val slack: Int, private val windowMillis: Long) {
    private val requestTimes = ArrayDeque<Long>()
    private val repeatTimes = ArrayDeque<Long>()

    /** Counts a request that came at [nowMillis]. */
    public fun requested(nowMillis: Long) {
        forget(nowMillis)
        requestTimes.addLast(nowMillis)
    }

    /** Takes one repeat out of the part of one of [entries] entries; false if nothing is left of it. */
    public fun tryTake(entries: Int, nowMillis: Long): Boolean {
        forget(nowMillis)
        val part = USED_PART * (ratio * requestTimes.size + slack.toDouble() / maxOf(1, entries))
        if (repeatTimes.size + 1 > part) return false
        repeatTimes.addLast(nowMillis)
        return true
    }

    private fun forget(nowMillis: Long) {
        while (requestTimes.isNotEmpty() && requestTimes.first() <= nowMillis - windowMillis) requestTimes.removeFirst()
        while (repeatTimes.isNotEmpty() && repeatTimes.first() <= nowMillis - windowMillis) repeatTimes.removeFirst()
    }

    private companion object {
        const val USED_PART = 0.75
    }
}
