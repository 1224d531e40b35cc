package marigoldward.core.dispatch

/**
 * Failure state of an upstream.
 *
 * @property consecutiveFailures the attempts in a row that could not connect, lost the connection or got no response
 * @property failureRate the moving average of failed attempts, from 0 to 1
 * @property ejectedUntilMillis when the upstream may get requests again, in milliseconds of monotonic time
 * @property lastFailureMillis when an attempt last failed, in milliseconds of monotonic time
 * @property lastReceivedMillis when bytes were last received, in milliseconds of monotonic time
 * @property refusesUntilMillis when the upstream accepts requests again according to its last refusal, in milliseconds
 *   of monotonic time
 * @property hasBrokenOff whether the latest failure was a lost connection of an attempt that began after
 *   [lastNotReachedMillis] and since which the upstream has sent bytes: it may answer the next request
 * @property lastNotReachedMillis when an attempt last ended because the upstream could not be reached at its address, in
 *   milliseconds of monotonic time
 */
public data class UpstreamHealth(
    val consecutiveFailures: Int,
    val failureRate: Double,
    val ejectedUntilMillis: Long,
    val lastFailureMillis: Long,
    val lastReceivedMillis: Long,
    val refusesUntilMillis: Long = Long.MIN_VALUE,
    val hasBrokenOff: Boolean = false,
    val lastNotReachedMillis: Long = Long.MIN_VALUE,
) {
    /** Whether the latest attempts failed and nothing has been received since. */
    val isSuspect: Boolean get() = consecutiveFailures > 0 && lastReceivedMillis <= lastFailureMillis

    /**
     * Whether an ejection of the shortest length would be over at [nowMillis], however often the upstream has failed.
     */
    internal fun isBaseEjectionOver(nowMillis: Long): Boolean =
        minOf(ejectedUntilMillis, lastFailureMillis + BASE_EJECTION_MILLIS) <= nowMillis

    /**
     * Returns the health after an attempt that began at [startedMillis] ended as [end] at [nowMillis], and of whose own
     * answer bytes were received if [hasReceivedBytes].
     */
    internal fun after(
        end: AttemptEnd,
        startedMillis: Long,
        nowMillis: Long,
        hasReceivedBytes: Boolean,
    ): UpstreamHealth = when (end) {
        AttemptEnd.CANCELLED -> this
        AttemptEnd.ANSWERED -> withFailureSample(0.0).copy(consecutiveFailures = 0, ejectedUntilMillis = NEVER_MILLIS)
        AttemptEnd.FAILED -> withFailureSample(1.0).copy(consecutiveFailures = 0)
        AttemptEnd.NOT_RUN -> withFailureSample(1.0).copy(consecutiveFailures = 0)
        AttemptEnd.MISDIRECTED ->
            copy(
                ejectedUntilMillis = nowMillis + MISDIRECTED_EJECTION_MILLIS,
                lastFailureMillis = nowMillis,
                hasBrokenOff = false,
                lastNotReachedMillis = nowMillis,
            )
        AttemptEnd.UNREACHABLE -> withFailureSample(1.0).ejected(nowMillis).copy(lastNotReachedMillis = nowMillis)
        AttemptEnd.BROKEN ->
            withFailureSample(1.0)
                .let { if (it.isSuspect) it.ejected(nowMillis) else it.suspected(nowMillis) }
                .copy(hasBrokenOff = wasReached(startedMillis, hasReceivedBytes))
        AttemptEnd.SILENT ->
            if (lastReceivedMillis > startedMillis) {
                withFailureSample(1.0)
            } else {
                withFailureSample(1.0).ejected(nowMillis)
            }
    }

    /**
     * Whether the upstream sent bytes, for any request, since an attempt began at [startedMillis], and was reached by all
     * connections since. A connection that is lost before an answer begins says nothing of the next, unless it was a crash.
     */
    private fun wasReached(startedMillis: Long, hasReceivedBytes: Boolean): Boolean =
        (hasReceivedBytes || lastReceivedMillis >= startedMillis) && startedMillis > lastNotReachedMillis

    /** Returns the health after a probe at [nowMillis] could not connect, whose result several attempts may report. */
    internal fun afterFailedProbe(nowMillis: Long): UpstreamHealth =
        (if (nowMillis < ejectedUntilMillis) copy(hasBrokenOff = false) else ejected(nowMillis))
            .copy(lastNotReachedMillis = nowMillis)

    private fun withFailureSample(failure: Double): UpstreamHealth =
        copy(failureRate = failureRate + FAILURE_RATE_WEIGHT * (failure - failureRate))

    private fun suspected(nowMillis: Long): UpstreamHealth =
        copy(consecutiveFailures = 1, lastFailureMillis = nowMillis)

    private fun ejected(nowMillis: Long): UpstreamHealth {
        val ejectionMillis = BASE_EJECTION_MILLIS shl minOf(consecutiveFailures, MAX_DOUBLINGS)
        return copy(
            consecutiveFailures = consecutiveFailures + 1,
            ejectedUntilMillis = nowMillis + ejectionMillis,
            lastFailureMillis = nowMillis,
            hasBrokenOff = false,
        )
    }

    /** Creates health states. */
    public companion object {
        private const val NEVER_MILLIS = Long.MIN_VALUE / 2

        /** Weight of the newest attempt: the rate covers about the last ten. */
        private const val FAILURE_RATE_WEIGHT = 0.1

        /** Longer than a burst of connection resets, shorter than a restart. */
        private const val BASE_EJECTION_MILLIS = 500L
        private const val MAX_DOUBLINGS = 3

        /** The time for the directory to list the new owner of an address. */
        private const val MISDIRECTED_EJECTION_MILLIS = 2_000L

        /** The health of an upstream without any attempt. */
        public val UNKNOWN: UpstreamHealth = UpstreamHealth(0, 0.0, NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS)
    }
}
