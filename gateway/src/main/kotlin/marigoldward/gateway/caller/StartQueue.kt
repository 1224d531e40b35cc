package marigoldward.gateway.caller

import io.netty.channel.EventLoop
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.TimeUnit

/**
 * Starts the received requests in the order of their arrival. Confined to the thread of [loop].
 *
 * An event loop that lags reads many requests at once. To start all of them before it reads again would send requests
 * to upstreams whose callers have left meanwhile. So the loop reads again after each [MAX_RUN_MILLIS] of starts.
 */
internal class StartQueue(private val loop: EventLoop) {
    private val waiting = ArrayDeque<() -> Unit>()
    private var isScheduled = false

    /** Calls [start] after the starts that were added before, once the loop has read all sockets that were ready. */
    fun add(start: () -> Unit) {
        waiting.addLast(start)
        if (isScheduled) return
        isScheduled = true
        loop.execute(::startSome)
    }

    private fun startSome() {
        val endMillis = MonotonicClock.nowMillis() + MAX_RUN_MILLIS
        try {
            do {
                waiting.removeFirst().invoke()
            } while (waiting.isNotEmpty() && MonotonicClock.nowMillis() < endMillis)
        } finally {
            isScheduled = waiting.isNotEmpty()
            // Only a delayed task lets the loop read before it runs.
            if (isScheduled) loop.schedule(::startSome, 1, TimeUnit.MILLISECONDS)
        }
    }

    private companion object {
        /** Much less than the half second after which work for a caller that has left counts as wasted. */
        const val MAX_RUN_MILLIS = 20L
    }
}
