package marigoldward.support.time

import java.util.concurrent.Future

/** A subscription to the [TimerService]. */
public class TimerSubscription internal constructor(private val task: Future<*>) : AutoCloseable {
    /** Ends the subscription. A call that is in progress is not interrupted. */
    override fun close() {
        task.cancel(false)
    }
}
