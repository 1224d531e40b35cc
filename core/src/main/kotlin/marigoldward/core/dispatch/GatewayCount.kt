package marigoldward.core.dispatch

/**
 * The number of gateways that send to the same upstreams, derived from the numbers that control instances report.
 *
 * A reported number may be too small: an instance without fresh state knows only the gateways that follow it, and a
 * gateway that looks for another instance counts at none. Therefore a larger number is used at once, and a smaller one
 * after all reports of [HOLD_MILLIS] were smaller and came from fresh state. Without such reports the number stays. The
 * first number is the largest that fresh state reported within [FIRST_HOLD_MILLIS], because gateways that start together
 * are not counted at once.
 *
 * Has no clock of its own and is not thread-safe.
 */
public class GatewayCount {
    private var knownCount: Int? = null
    private var smaller: Smaller? = null

    /** The largest of the reports from [sinceMillis] to [lastMillis], all of them smaller than the number in use. */
    private data class Smaller(val largest: Int, val sinceMillis: Long, val lastMillis: Long)

    /** The number in use. */
    public val count: Int get() = knownCount ?: UNKNOWN_COUNT

    /** Records a report of [gateways] gateways at [nowMillis], which comes from fresh state if [isFresh]. */
    public fun report(gateways: Int, isFresh: Boolean, nowMillis: Long) {
        when {
            gateways >= count -> use(gateways)
            isFresh -> considerSmaller(gateways, nowMillis)
            else -> smaller = null
        }
    }

    private fun considerSmaller(gateways: Int, nowMillis: Long) {
        val before = smaller?.takeIf { nowMillis - it.lastMillis <= MAX_GAP_MILLIS }
        val current = Smaller(maxOf(gateways, before?.largest ?: 0), before?.sinceMillis ?: nowMillis, nowMillis)
        val holdMillis = if (knownCount == null) FIRST_HOLD_MILLIS else HOLD_MILLIS
        if (nowMillis - current.sinceMillis >= holdMillis) use(current.largest) else smaller = current
    }

    private fun use(gateways: Int) {
        knownCount = gateways
        smaller = null
    }

    /** Limits of the numbers. */
    public companion object {
        /** Used before a number is known; high, so that a gateway that starts leaves the upstreams to the others. */
        public const val UNKNOWN_COUNT: Int = 32

        /** Longer than a gateway whose instance has ended takes to be counted at another: 2,800 ms. */
        public const val HOLD_MILLIS: Long = 3_000L

        /** Longer than a control instance takes to count a gateway that has begun to follow it, and to tell it. */
        public const val FIRST_HOLD_MILLIS: Long = 1_000L

        /** Reports that are further apart than this are no evidence for the time between them. */
        private const val MAX_GAP_MILLIS = 2_000L
    }
}
