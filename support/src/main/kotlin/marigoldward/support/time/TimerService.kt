package marigoldward.support.time

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
        val task = executor.scheduleWithFixedDelay(subscriber, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription(task)
    }

    /** Calls [subscriber] once, after [delayMillis], unless the subscription is closed before. */
    public fun subscribeOnce(delayMillis: Long, subscriber: () -> Unit): TimerSubscription =
        TimerSubscription(executor.schedule(subscriber, delayMillis, TimeUnit.MILLISECONDS))

    override fun close() {
        executor.shutdownNow()
    }

    /** Creates timer services. */
    public companion object {
        /** Starts the timer thread. */
        public fun start(): TimerService {
            val executor = ScheduledThreadPoolExecutor(1) { Thread(it, "timer").apply { isDaemon = true } }
            executor.removeOnCancelPolicy = true
            return TimerService(executor)
        }
    }
}
