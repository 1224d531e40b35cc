package marigoldward.bench.policy

import java.util.PriorityQueue

/** A clock of a simulation, which executes scheduled actions by time, and in the order of scheduling at equal times. */
internal class VirtualClock {
    private class ScheduledAction(val atMillis: Double, val number: Long, val action: () -> Unit)

    private val queue =
        PriorityQueue<ScheduledAction>(compareBy<ScheduledAction> { it.atMillis }.thenBy { it.number })
    private var nextNumber = 0L

    /** The current time in milliseconds. */
    var nowMillis = 0.0
        private set

    /** The current time in whole milliseconds, rounded down. */
    val nowWholeMillis: Long get() = nowMillis.toLong()

    /** Schedules [action] in [delayMillis] milliseconds; a negative delay counts as 0. */
    fun schedule(delayMillis: Double, action: () -> Unit) {
        queue.add(ScheduledAction(nowMillis + maxOf(0.0, delayMillis), nextNumber++, action))
    }

    /** Schedules [action] every [periodMillis] milliseconds, first after one period. */
    fun scheduleEvery(periodMillis: Double, action: () -> Unit) {
        schedule(periodMillis) {
            action()
            scheduleEvery(periodMillis, action)
        }
    }

    /** Executes all actions that are due up to [endMillis]. */
    fun runUntil(endMillis: Double) {
        while (true) {
            val next = queue.peek() ?: return
            if (next.atMillis > endMillis) return
            queue.poll()
            nowMillis = next.atMillis
            next.action()
        }
    }
}
