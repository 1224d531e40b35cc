package marigoldward.gateway.control

import io.grpc.stub.StreamObserver
import marigoldward.core.model.InstanceId
import marigoldward.core.time.ClockReading
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.support.time.SystemClocks
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest
import marigoldward.wire.feed.ExchangeRpc
import marigoldward.wire.rpc.RpcClient
import kotlin.random.Random

/**
 * Exchanges what the [parts] of a gateway report and learn with the leader of the control instances, through the instance
 * that the gateway follows. One request at a time, about one a second. Confined to the event loop thread.
 *
 * @param runOnLoop runs an action on the event loop thread
 * @param isNeeded returns whether the configuration in force asks for the exchange
 * @param currentClient returns the client of the followed control instance, or null if there is none
 * @param periodMillis the time from the end of a request until the next one, in milliseconds
 */
internal class ControlExchange(
    private val entry: InstanceId,
    private val parts: List<ExchangePart>,
    private val runOnLoop: (() -> Unit) -> Unit,
    private val isNeeded: () -> Boolean,
    private val currentClient: () -> RpcClient?,
    private val periodMillis: Long,
) {
    private val incarnation = Random.nextLong()
    private var lastSequence = 0L
    private var sentMillis: Long? = null
    private var nextMillis = Long.MIN_VALUE
    private var wasConfirmed = true

    /** Sends the next request as soon as the last one has ended, but not at once after one that has failed. */
    fun requestNow() {
        if (wasConfirmed) nextMillis = Long.MIN_VALUE
    }

    /** Sends a request if one is due. Called at short intervals. */
    fun maintain() {
        if (parts.isEmpty() || !isNeeded()) return
        val nowMillis = MonotonicClock.nowMillis()
        if (nowMillis < nextMillis || isAwaitingReply(nowMillis)) return
        val client = currentClient() ?: return
        lastSequence++
        sentMillis = nowMillis
        // Before the request is made, so that its age counts from a time before it.
        val askedAt = SystemClocks.read()
        val base = EntryExchangeRequest(entry, incarnation, lastSequence, askedAt.epochMillis)
        val request = parts.fold(base) { request, part -> part.addTo(request) }
        client.callAsync(ExchangeRpc.EXCHANGE, request, TIMEOUT_MILLIS, ReplyObserver(lastSequence, askedAt))
    }

    private fun isAwaitingReply(nowMillis: Long): Boolean =
        sentMillis?.let { nowMillis - it < MAX_WAIT_MILLIS } ?: false

    private fun onReply(sequence: Long, askedAt: ClockReading, reply: EntryExchangeReply) {
        if (reply.isConfirmed) parts.forEach { it.onReply(reply, askedAt) }
        onEnd(sequence, reply.isConfirmed, "not confirmed")
    }

    private fun onEnd(sequence: Long, isConfirmed: Boolean, reason: String?) {
        if (sequence != lastSequence || sentMillis == null) return
        sentMillis = null
        nextMillis = MonotonicClock.nowMillis() + if (isConfirmed) periodMillis else RETRY_MILLIS
        if (isConfirmed == wasConfirmed) return
        wasConfirmed = isConfirmed
        log.info(if (isConfirmed) "exchange_regained" else "exchange_lost") {
            field("sequence", sequence)
            if (!isConfirmed) field("reason", reason)
        }
    }

    private inner class ReplyObserver(private val sequence: Long, private val askedAt: ClockReading) :
        StreamObserver<EntryExchangeReply> {
        override fun onNext(value: EntryExchangeReply) = runOnLoop { onReply(sequence, askedAt, value) }

        override fun onError(failure: Throwable) = runOnLoop { onEnd(sequence, isConfirmed = false, failure.message) }

        override fun onCompleted() = Unit
    }

    private companion object {
        const val RETRY_MILLIS = 100L

        /** Several requests have to fit within the time for which a confirmation counts. */
        const val TIMEOUT_MILLIS = 500L

        /** When a request counts as ended though its end was not reported. */
        const val MAX_WAIT_MILLIS = 2 * TIMEOUT_MILLIS
        val log = EventLog.fromName("exchange")
    }
}
