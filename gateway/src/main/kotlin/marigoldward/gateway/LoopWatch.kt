package marigoldward.gateway

import io.netty.channel.EventLoop
import marigoldward.support.duty.BrokenInvariant
import kotlin.concurrent.thread

/**
 * Halts the process when its event loop has ended. An error in the loop itself, outside its tasks, ends it: the process
 * would live on and serve nobody.
 */
internal object LoopWatch {
    private const val PERIOD_MILLIS = 250L

    /** Starts to watch [loop], which is not expected to end before the process. */
    fun start(loop: EventLoop) {
        val failure = IllegalStateException("the event loop has ended")
        thread(name = "loop-watch", isDaemon = true) {
            while (!loop.isShuttingDown) Thread.sleep(PERIOD_MILLIS)
            BrokenInvariant.haltProcess("loop", failure)
        }
    }
}
