package marigoldward.core.dispatch

/**
 * The number of gateways among which a gateway divides the slack of the retry budgets, derived from the numbers that
 * control instances report.
 *
 * The reports of control instances differ while they start or are cut off. Therefore a larger number is used at once,
 * and a smaller one after all reports of two windows were smaller. A gateway that has just started, or was without
 * reports from fresh state for a window, uses [UNKNOWN_COUNT] until it has had such reports for a window: the process
 * before it may have spent its share, and gateways that are cut off give up theirs before the others divide it.
 *
 * Has no clock of its own and is not thread-safe.
 *
 * @param windowMillis the window of the retry budgets
 * @param startedMillis when the process started, in milliseconds of monotonic time
 */
public class BudgetSharers(private val windowMillis: Long, startedMillis: Long) {
    private val smallerHoldMillis = 2 * windowMillis + MARGIN_MILLIS
    private var knownCount: Int? = null
    private var smaller: Smaller? = null
    private var lastFreshMillis = startedMillis

    /** The largest of the reports since [sinceMillis], all of them smaller than the number in use. */
    private data class Smaller(val largest: Int, val sinceMillis: Long)

    /** Returns the number in use at [nowMillis]. */
    public fun count(nowMillis: Long): Int = knownCountOrNull(nowMillis) ?: UNKNOWN_COUNT

    /** Records a report of [gateways] gateways, which comes from fresh state if [isFresh]. */
    public fun report(gateways: Int, isFresh: Boolean, nowMillis: Long) {
        knownCount = knownCountOrNull(nowMillis)
        val isContinued = nowMillis - lastFreshMillis <= MAX_GAP_MILLIS
        if (isFresh) lastFreshMillis = nowMillis
        when {
            gateways >= count(nowMillis) -> use(gateways)
            isFresh -> considerSmaller(gateways, if (isContinued) smaller else null, nowMillis)
            else -> smaller = null
        }
    }

    private fun knownCountOrNull(nowMillis: Long): Int? =
        knownCount.takeIf { nowMillis - lastFreshMillis <= windowMillis }

    private fun considerSmaller(gateways: Int, before: Smaller?, nowMillis: Long) {
        val current = Smaller(maxOf(gateways, before?.largest ?: 0), before?.sinceMillis ?: nowMillis)
        val holdMillis = if (knownCount == null) windowMillis else smallerHoldMillis
        if (nowMillis - current.sinceMillis > holdMillis) use(current.largest) else smaller = current
    }

    private fun use(gateways: Int) {
        knownCount = gateways
        smaller = null
    }

    /** Limits of the numbers. */
    public companion object {
        /** Used while the number is unknown; high, so that a gateway takes little of the slack. */
        public const val UNKNOWN_COUNT: Int = 32

        /** Reports that are further apart than this are no evidence for the time between them. */
        private const val MAX_GAP_MILLIS = 2_000L

        /** Covers the time until a control instance notices that a gateway is cut off, and retries in progress. */
        private const val MARGIN_MILLIS = 2_000L
    }
}
