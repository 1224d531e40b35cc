package marigoldward.core.planning

/** The demand of one priority class, averaged over a short ([fast]) and a longer ([slow]) time. */
public data class ClassDemand(val fast: DemandAverage, val slow: DemandAverage) {
    /**
     * Returns the demand after a further interval of [intervalMillis] milliseconds.
     *
     * [prefill] and [decode] are the demand in that interval, in engine-seconds per second.
     */
    public fun observed(prefill: Double, decode: Double, intervalMillis: Long): ClassDemand = ClassDemand(
        fast.observed(prefill, decode, intervalMillis),
        slow.observed(prefill, decode, intervalMillis),
    )

    /** Holds the initial demand. */
    public companion object {
        private const val FAST_MILLIS = 10_000L
        private const val SLOW_MILLIS = 30_000L

        /** The demand of a class without requests. */
        public val NONE: ClassDemand = ClassDemand(DemandAverage.empty(FAST_MILLIS), DemandAverage.empty(SLOW_MILLIS))
    }
}
