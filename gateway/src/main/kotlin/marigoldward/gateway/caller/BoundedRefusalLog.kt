package marigoldward.gateway.caller

import marigoldward.support.log.EventFields
import marigoldward.support.log.EventLog

/** Counts occurrences of [event] by [count], and logs at most one a second, with the number since the line before. */
internal class BoundedRefusalLog(private val event: String, private val count: () -> Unit) {
    private var lastLoggedMillis = Long.MIN_VALUE / 2
    private var unlogged = 0L

    /** Records one occurrence at [nowMillis], in milliseconds of monotonic time. */
    fun record(nowMillis: Long, fields: EventFields.() -> Unit) {
        count()
        unlogged++
        if (nowMillis - lastLoggedMillis < PERIOD_MILLIS) return
        lastLoggedMillis = nowMillis
        val occurrences = unlogged
        unlogged = 0
        log.warn(event) {
            field("times", occurrences)
            fields()
        }
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
        val log = EventLog.fromName("caller")
    }
}
