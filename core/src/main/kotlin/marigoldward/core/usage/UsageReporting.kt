package marigoldward.core.usage

import marigoldward.core.control.RecordedUsage
import marigoldward.core.model.FencingToken

/**
 * Decides which recorded window is reported next, and when: the oldest first, one call at a time, within the provider's
 * rate. Immutable.
 */
public class UsageReporting private constructor(
    private val minCallIntervalMillis: Long,
    private val refusedToken: FencingToken?,
    private val failures: Int,
    private val nextCallMillis: Long,
    private val settledWindows: Set<Long>,
) {
    /** The result of a call that reports a window. */
    public enum class Result {
        /** The provider has accepted the report. */
        ACCEPTED,

        /** The provider has seen a higher fencing token, so no more calls are made with this one. */
        TOKEN_OUTDATED,

        /** The provider refuses this report for good. */
        REFUSED,

        /** The report was not accepted, or it is not known whether it was; the same report is repeated later. */
        REPEATABLE,

        /** No call was made. */
        NOT_SENT,
    }

    /** Returns the window to report at [nowMillis] with [token], or null if none is due. */
    public fun nextWindowOrNull(recorded: RecordedUsage, token: FencingToken, nowMillis: Long): Long? {
        if (token == refusedToken || nowMillis < nextCallMillis) return null
        return recorded.unreported.keys.filter { it !in settledWindows }.minOrNull()
    }

    /**
     * Returns the windows that need no more calls but are not marked in [recorded] yet, as the state that was read is
     * old or the mark was lost.
     */
    public fun unmarkedWindows(recorded: RecordedUsage): List<Long> =
        settledWindows.filter { it in recorded.unreported }.sorted()

    /** Returns the state after the call for [window] with [token] ended at [nowMillis] with [result]. */
    public fun afterCall(
        window: Long,
        token: FencingToken,
        result: Result,
        recorded: RecordedUsage,
        nowMillis: Long,
    ): UsageReporting {
        val hasFailed = result == Result.REPEATABLE || result == Result.TOKEN_OUTDATED
        val nextFailures = if (hasFailed) failures + 1 else 0
        val backoffMillis = minCallIntervalMillis * (1L shl minOf(nextFailures, MAX_DOUBLINGS))
        val waitMillis = maxOf(minCallIntervalMillis, minOf(MAX_BACKOFF_MILLIS, backoffMillis))
        val isSettled = result == Result.ACCEPTED || result == Result.REFUSED
        val known = settledWindows.filterTo(HashSet()) { it in recorded.unreported }
        return UsageReporting(
            minCallIntervalMillis,
            if (result == Result.TOKEN_OUTDATED) token else refusedToken,
            nextFailures,
            if (result == Result.NOT_SENT) nowMillis else nowMillis + waitMillis,
            if (isSettled) known + window else known,
        )
    }

    /** Creates states. */
    public companion object {
        private const val MAX_BACKOFF_MILLIS = 1_000L
        private const val MAX_DOUBLINGS = 6

        /** Returns the state before the first call, for calls at least [minCallIntervalMillis] apart. */
        public fun withInterval(minCallIntervalMillis: Long): UsageReporting =
            UsageReporting(minCallIntervalMillis, null, 0, Long.MIN_VALUE, emptySet())
    }
}
