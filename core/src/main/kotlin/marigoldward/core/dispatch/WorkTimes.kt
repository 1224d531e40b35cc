package marigoldward.core.dispatch

/** The average times of work by kind, over all upstreams, as they would be on a machine of normal speed. */
internal class WorkTimes {
    private val averageMillis = LinkedHashMap<String, Double>()

    /** Returns the average time of work of [kind] in milliseconds, or null if none has ended yet. */
    fun averageOrNull(kind: String?): Double? = averageMillis[kind]

    /** Records that work of [kind] took [millis] on an upstream where work takes [factor] times as long as normal. */
    fun record(kind: String, millis: Double, factor: Double) {
        val normalMillis = millis / factor
        val average = averageMillis.remove(kind) ?: normalMillis
        averageMillis[kind] = average + WEIGHT * (normalMillis - average)
        if (averageMillis.size > MAX_KINDS) averageMillis.remove(averageMillis.keys.first())
    }

    private companion object {
        const val WEIGHT = 0.05

        /** Kinds are routes, which operators may replace at any time; the least recently used are removed. */
        const val MAX_KINDS = 1_000
    }
}
