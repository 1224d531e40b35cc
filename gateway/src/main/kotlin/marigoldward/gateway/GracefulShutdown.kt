package marigoldward.gateway

import io.netty.channel.EventLoop
import marigoldward.gateway.caller.CallerServer
import marigoldward.gateway.session.Gateway
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Ends the work of a gateway within its grace period, without cutting off responses.
 *
 * @param gracePeriodMillis the time until the process is killed, in milliseconds
 */
internal class GracefulShutdown(
    private val loop: EventLoop,
    private val callerServer: CallerServer,
    private val gateway: Gateway,
    private val gracePeriodMillis: Long,
) {
    /**
     * Takes requests that end in time, closes each connection after a response that is sent whole or once it is idle, and
     * returns when all requests have ended. Until callers have been sent elsewhere, takes requests that are only expected
     * to end in time too. Those that are in progress when the grace period is nearly over are ended by the gateway.
     */
    fun run() {
        val exitMillis = MonotonicClock.nowMillis() + gracePeriodMillis - EXIT_MARGIN_MILLIS
        onLoop {
            callerServer.isDraining = true
            gateway.beginShutdown(exitMillis)
        }
        log.info("ending")
        Thread.sleep(minOf(gracePeriodMillis / 2, READINESS_PROPAGATION_MILLIS))
        onLoop {
            gateway.stopAcceptingEstimates()
            callerServer.closeIdle()
        }
        awaitRequests(exitMillis)
        // A request that arrives before the listening socket is closed is served like those before it.
        onLoopAfterRead {
            callerServer.stopListening()
            callerServer.closeIdle()
        }
        awaitRequests(exitMillis)
        val requestsLeft = hasRequestsInProgress()
        onLoopAfterRead {
            gateway.endRequests()
            callerServer.refuseIncomplete()
            callerServer.closeIdle()
        }
        val isAnswered = awaitAnswers()
        log.info("ended") {
            field("requests_left", requestsLeft)
            field("answered", isAnswered)
        }
    }

    /**
     * Waits until all that was received is answered and the sockets have taken the answers, at least [FLUSH_MILLIS] and at
     * most [MAX_FLUSH_MILLIS]. Returns whether that is so.
     */
    private fun awaitAnswers(): Boolean {
        val endMillis = MonotonicClock.nowMillis() + MAX_FLUSH_MILLIS
        Thread.sleep(FLUSH_MILLIS)
        var isAnswered = false
        while (!isAnswered && MonotonicClock.nowMillis() < endMillis) {
            val waitMillis = maxOf(1, endMillis - MonotonicClock.nowMillis())
            onLoopAfterRead(waitMillis) { isAnswered = !callerServer.isAnswering }
            if (!isAnswered) Thread.sleep(FLUSH_POLL_MILLIS)
        }
        return isAnswered
    }

    private fun awaitRequests(untilMillis: Long) {
        while (MonotonicClock.nowMillis() < untilMillis && hasRequestsInProgress()) Thread.sleep(DRAIN_POLL_MILLIS)
    }

    private fun hasRequestsInProgress(): Boolean {
        // An event loop that lags does not answer in time and may have requests.
        var hasRequests = true
        onLoop {
            callerServer.closeIdle()
            hasRequests = callerServer.isBusy
        }
        return hasRequests
    }

    private fun onLoop(action: () -> Unit) {
        val done = CountDownLatch(1)
        loop.execute {
            action()
            done.countDown()
        }
        done.await(LOOP_CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** As [onLoop], after the loop has accepted the connections and read the requests that have come by now. */
    private fun onLoopAfterRead(maxWaitMillis: Long = LOOP_CALL_TIMEOUT_MILLIS, action: () -> Unit) {
        val done = CountDownLatch(1)
        // Only a delayed task lets the loop accept and read before it runs; a second one, read what it has accepted.
        val last = {
            action()
            done.countDown()
        }
        loop.schedule({ loop.schedule(last, 1, TimeUnit.MILLISECONDS) }, 1, TimeUnit.MILLISECONDS)
        done.await(maxWaitMillis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** The time in which two readiness checks fail, after which no new callers are sent to this gateway. */
        const val READINESS_PROPAGATION_MILLIS = 2_500L

        /** The part of the grace period that is kept for the process to exit before it is killed. */
        const val EXIT_MARGIN_MILLIS = 800L
        const val DRAIN_POLL_MILLIS = 50L
        const val FLUSH_MILLIS = 200L
        const val FLUSH_POLL_MILLIS = 10L

        /** Leaves time for the process to end before it is killed. */
        const val MAX_FLUSH_MILLIS = 500L
        const val LOOP_CALL_TIMEOUT_MILLIS = 1_000L
        val log = EventLog.fromName("entry")
    }
}
