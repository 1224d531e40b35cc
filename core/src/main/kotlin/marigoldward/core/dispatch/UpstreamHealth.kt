package marigoldward.core.dispatch

/**
 * How far an upstream can be relied on.
 *
 * @property failures attempts in a row in which it could not be reached or broke off
 * @property failureRate the part of the latest attempts that failed, from 0 to 1
 * @property ejectedUntilMillis it gets no work before, in milliseconds of monotonic time
 * @property failedMillis when an attempt there last failed, in milliseconds of monotonic time
 * @property heardMillis when bytes last came from it, in milliseconds of monotonic time
 */
public data class UpstreamHealth(
    val failures: Int,
    val failureRate: Double,
    val ejectedUntilMillis: Long,
    val failedMillis: Long,
    val heardMillis: Long,
) {
    /** Whether its latest attempts failed and nothing has come from it since. */
    val isInDoubt: Boolean get() = failures > 0 && heardMillis <= failedMillis

    /** Whether its first ejection would be over at [nowMillis], however often it has failed. */
    internal fun isWorthTrying(nowMillis: Long): Boolean =
        minOf(ejectedUntilMillis, failedMillis + FIRST_EJECTION_MILLIS) <= nowMillis

    /** Returns the health after an attempt that began at [startedMillis] ended as [end] at [nowMillis]. */
    internal fun after(end: AttemptEnd, startedMillis: Long, nowMillis: Long): UpstreamHealth = when (end) {
        AttemptEnd.CANCELLED -> this
        AttemptEnd.ANSWERED -> rated(0.0).copy(failures = 0, ejectedUntilMillis = NEVER_MILLIS)
        AttemptEnd.FAILED -> rated(1.0).copy(failures = 0)
        AttemptEnd.NOT_RUN -> rated(1.0).copy(failures = 0)
        AttemptEnd.MISDIRECTED -> copy(ejectedUntilMillis = nowMillis + MISDIRECTED_MILLIS, failedMillis = nowMillis)
        AttemptEnd.UNREACHABLE -> rated(1.0).ejected(nowMillis)
        AttemptEnd.BROKEN -> rated(1.0).let { if (it.isInDoubt) it.ejected(nowMillis) else it.doubted(nowMillis) }
        AttemptEnd.SILENT -> if (heardMillis > startedMillis) rated(1.0) else rated(1.0).ejected(nowMillis)
    }

    private fun rated(failure: Double): UpstreamHealth =
        copy(failureRate = failureRate + RATE_STEP * (failure - failureRate))

    private fun doubted(nowMillis: Long): UpstreamHealth = copy(failures = 1, failedMillis = nowMillis)

    private fun ejected(nowMillis: Long): UpstreamHealth {
        val pauseMillis = FIRST_EJECTION_MILLIS shl minOf(failures, MAX_DOUBLINGS)
        return copy(failures = failures + 1, ejectedUntilMillis = nowMillis + pauseMillis, failedMillis = nowMillis)
    }

    /** Creates health records. */
    public companion object {
        private const val NEVER_MILLIS = Long.MIN_VALUE / 2

        /** The weight of the newest attempt in the rate: about the last ten attempts count. */
        private const val RATE_STEP = 0.1

        /** The first ejection, in milliseconds: longer than a burst of resets, shorter than a restart. */
        private const val FIRST_EJECTION_MILLIS = 500L
        private const val MAX_DOUBLINGS = 3

        /** Until the directory has caught up with an address that changed hands, in milliseconds. */
        private const val MISDIRECTED_MILLIS = 2_000L

        /** The health of an upstream of which nothing is known. */
        public val UNKNOWN: UpstreamHealth = UpstreamHealth(0, 0.0, NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS)
    }
}
