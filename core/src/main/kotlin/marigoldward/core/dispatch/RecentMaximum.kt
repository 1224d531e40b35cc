package marigoldward.core.dispatch

/** The largest of the values that were recorded within the last one to two [windowMillis]. */
internal class RecentMaximum(private val windowMillis: Long) {
    private var windowStartMillis: Long? = null
    private var current: Long? = null
    private var previous: Long? = null

    fun record(value: Long, nowMillis: Long) {
        advance(nowMillis)
        current = maxOf(value, current ?: value)
    }

    /** Returns the maximum at [nowMillis], or null if no value is recent. */
    fun valueOrNull(nowMillis: Long): Long? {
        advance(nowMillis)
        return listOfNotNull(current, previous).maxOrNull()
    }

    private fun advance(nowMillis: Long) {
        val ageMillis = nowMillis - (windowStartMillis ?: nowMillis)
        if (windowStartMillis != null && ageMillis < windowMillis) return
        previous = current.takeIf { ageMillis < 2 * windowMillis }
        current = null
        windowStartMillis = nowMillis
    }
}
