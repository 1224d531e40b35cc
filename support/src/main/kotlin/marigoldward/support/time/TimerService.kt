package marigoldward.support.time

import marigoldward.support.duty.BrokenInvariant
import marigoldward.support.log.EventLog
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Calls subscribers periodically or after a delay.
 *
 * All subscribers are called on one thread, so they must not block; they should only pass the event on, for example to
 * a [marigoldward.support.duty.Duty].
 */
public class TimerService private constructor(private val executor: ScheduledThreadPoolExecutor) : AutoCloseable {
    /** Calls [subscriber] until the subscription is closed, with a pause of [periodMillis] before each call. */
    public fun subscribe(periodMillis: Long, subscriber: () -> Unit): TimerSubscription {
        val task = executor.scheduleWithFixedDelay(
            guarded(subscriber),
            periodMillis,
            periodMillis,
            TimeUnit.MILLISECONDS,
        )
        return TimerSubscription(task)
    }

    /** Calls [subscriber] once, after [delayMillis], unless the subscription is closed before. */
    public fun subscribeOnce(delayMillis: Long, subscriber: () -> Unit): TimerSubscription =
        TimerSubscription(executor.schedule(guarded(subscriber), delayMillis, TimeUnit.MILLISECONDS))

    /**
     * Returns [subscriber] as a task that logs what it throws. The executor would drop a task that throws, silently, so
     * the process is halted if not even that can be logged.
     */
    private fun guarded(subscriber: () -> Unit): Runnable = Runnable {
        try {
            subscriber()
        } catch (failure: Throwable) {
            try {
                log.warn("subscriber_failed") { field("error", failure.stackTraceToString()) }
            } catch (error: Error) {
                BrokenInvariant.haltProcess("timer", error)
            }
        }
    }

    override fun close() {
        executor.shutdownNow()
    }

    /** Creates timer services. */
    public companion object {
        private val log = EventLog.fromName("timer")

        /** Starts the timer thread. */
        public fun start(): TimerService {
            val executor = ScheduledThreadPoolExecutor(1) { Thread(it, "timer").apply { isDaemon = true } }
            executor.removeOnCancelPolicy = true
            return TimerService(executor)
        }
    }
}
