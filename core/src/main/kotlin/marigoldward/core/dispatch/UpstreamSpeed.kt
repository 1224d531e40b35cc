package marigoldward.core.dispatch

/**
 * Estimates how long work takes on an upstream relative to normal, from the figures that it reports and the times that
 * its work took.
 *
 * An estimate approaches the long-term average of the figures as the latest one ages. The rate at which it does so is
 * the rate at which figures differ from those before them.
 *
 * @property latest the latest figure as a factor, bounded to the range of estimates, or null if none was received
 * @property latestMillis when [latest] was received, in milliseconds of monotonic time
 * @property average the moving average of the figures
 * @property figures the number of figures received, up to [MAX_FIGURES]
 * @property changes the number of recent figures that differed from those before them
 * @property elapsedMillis the time over which [changes] were counted
 * @property correction the factor by which work took longer than the figures say, relative to peers
 * @property correctionMillis when [correction] was updated, in milliseconds of monotonic time
 */
public data class UpstreamSpeed(
    private val latest: Double?,
    private val latestMillis: Long,
    private val average: Double,
    private val figures: Int,
    private val changes: Double,
    private val elapsedMillis: Double,
    private val correction: Double,
    private val correctionMillis: Long,
) {
    /** Whether the upstream has reported a plausible figure. */
    public val isReported: Boolean get() = latest != null

    /** The expected time until the figure changes, in milliseconds. */
    public val changeMillis: Double
        get() = ((elapsedMillis + PRIOR_CHANGE_MILLIS) / (changes + 1)).coerceIn(MIN_CHANGE_MILLIS, MAX_CHANGE_MILLIS)

    /** Returns the expected duration of work at [nowMillis] relative to normal: exactly 1 if no figure is known. */
    public fun factor(nowMillis: Long): Double {
        val remainingCorrection = 1 + (correction - 1) * remaining(correctionMillis, nowMillis)
        return (figureFactor(nowMillis) * remainingCorrection).coerceIn(MIN_FACTOR, MAX_FACTOR)
    }

    /**
     * Returns the estimate after the figure [percent] was received at [nowMillis]. One outside
     * [PLAUSIBLE_PERCENT] is ignored.
     */
    public fun withFigure(percent: Int, nowMillis: Long): UpstreamSpeed {
        if (percent !in PLAUSIBLE_PERCENT) return this
        val reported = (percent / PERCENT).coerceIn(MIN_FACTOR, MAX_FACTOR)
        val ageMillis = (nowMillis - latestMillis).coerceIn(0, MAX_COUNTED_MILLIS).toDouble()
        val isFirst = latest == null
        val ratio = if (latest == null) 1.0 else maxOf(reported / latest, latest / reported)
        val change = if (ratio > CHANGED_RATIO) 1.0 else 0.0
        return copy(
            latest = reported,
            latestMillis = nowMillis,
            average = average + AVERAGE_WEIGHT * (reported - average),
            figures = minOf(figures + 1, MAX_FIGURES),
            changes = if (isFirst) changes else changes * CHANGES_DECAY + change,
            elapsedMillis = if (isFirst) elapsedMillis else elapsedMillis * CHANGES_DECAY + ageMillis,
        )
    }

    /**
     * Returns the estimate after work ended at [nowMillis] that took [millis], where work of its kind takes
     * [normalMillis] on a machine of normal speed. Changes nothing if no figure is known.
     */
    public fun withObservedTime(millis: Double, normalMillis: Double, nowMillis: Long): UpstreamSpeed {
        if (latest == null || normalMillis <= 0) return this
        val ratio = (millis / normalMillis / figureFactor(nowMillis)).coerceIn(MIN_CORRECTION, MAX_CORRECTION)
        val current = 1 + (correction - 1) * remaining(correctionMillis, nowMillis)
        return copy(correction = current + CORRECTION_WEIGHT * (ratio - current), correctionMillis = nowMillis)
    }

    /** Returns the factor by the figures alone. Few figures count less, so that no single one decides. */
    public fun figureFactor(nowMillis: Long): Double {
        val reported = latest ?: return 1.0
        val trust = figures / (figures + 1.0)
        return average + (reported - average) * trust * remaining(latestMillis, nowMillis)
    }

    /** Returns the part of a deviation observed at [observedMillis] that is left at [nowMillis]. */
    private fun remaining(observedMillis: Long, nowMillis: Long): Double =
        Math.exp(-maxOf(0L, nowMillis - observedMillis) / changeMillis)

    /** Creates estimates. */
    public companion object {
        /** The figures that an upstream may report, in percent; any other one is a fault of the upstream. */
        public val PLAUSIBLE_PERCENT: IntRange = 10..2_000

        // Bounds the influence of a figure: an upstream that always reports the lowest one still has a queue like any
        // other, and one that reports the highest one still gets work once the others are full.
        private const val MIN_FACTOR = 0.5
        private const val MAX_FACTOR = 4.0
        private const val MIN_CORRECTION = 0.5
        private const val MAX_CORRECTION = 2.0
        private const val PERCENT = 100.0

        /** Weight of the newest figure in the average: it covers about the last twenty. */
        private const val AVERAGE_WEIGHT = 0.05

        /** Weight of the newest observed time. It includes waiting and varies with the work, so one says little. */
        private const val CORRECTION_WEIGHT = 0.1
        private const val MAX_FIGURES = 100

        /** Smaller differences are noise of the measurement. */
        private const val CHANGED_RATIO = 1.25
        private const val CHANGES_DECAY = 0.95

        /** Longer intervals between figures count as this long, as an upstream without requests reports nothing. */
        private const val MAX_COUNTED_MILLIS = 1_000L

        /** The expected time between changes before any was observed. */
        private const val PRIOR_CHANGE_MILLIS = 300.0
        private const val MIN_CHANGE_MILLIS = 20.0
        private const val MAX_CHANGE_MILLIS = 2_000.0

        /** The estimate of an upstream that has reported no figure. */
        public val UNKNOWN: UpstreamSpeed = UpstreamSpeed(null, 0, 1.0, 0, 0.0, 0.0, 1.0, 0)
    }
}
