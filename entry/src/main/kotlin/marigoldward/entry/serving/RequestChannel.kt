package marigoldward.entry.serving

import marigoldward.core.serving.ServingAction
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/** Passes the decisions about one request from the [ServingLoop] to the thread that serves the request. */
internal class RequestChannel {
    private val decisions = ArrayBlockingQueue<ServingAction>(MAX_PENDING)

    /**
     * Adds [decision] without waiting.
     *
     * A request has at most one pending decision at a time.
     *
     * @throws IllegalStateException if [MAX_PENDING] decisions are pending
     */
    fun send(decision: ServingAction) {
        check(decisions.offer(decision)) { "a request has more than $MAX_PENDING pending decisions" }
    }

    /** Waits up to [timeoutMillis] for the next decision; returns null if none has come. */
    fun receiveOrNull(timeoutMillis: Long): ServingAction? =
        decisions.poll(maxOf(0, timeoutMillis), TimeUnit.MILLISECONDS)

    private companion object {
        const val MAX_PENDING = 2
    }
}
