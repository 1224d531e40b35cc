package marigoldward.gateway.control

import marigoldward.support.time.RemoteClocks
import marigoldward.wire.feed.SendingTime

/**
 * Tells how long the updates on one stream of a control instance were under way, from the times at which they were sent.
 *
 * The delay of an update is how much later it came than the fastest recent one on the stream, as [RemoteClocks] defines
 * it. The first update has nothing to be compared with. It counts as sent when the stream was opened if that was
 * [MAX_FIRST_ANSWER_MILLIS] before or longer, because this process may have been frozen meanwhile, and otherwise as sent
 * when it came. Later updates are compared with this time.
 *
 * Nothing is known from earlier streams, because the clock of an instance stands still while its machine is suspended.
 *
 * Has no clock of its own and is not thread-safe.
 *
 * @param streamOpenedMillis when the stream was opened, on the clock of the receiver
 */
internal class UpdateDelays(private val streamOpenedMillis: Long) {
    private val clocks = RemoteClocks()

    /**
     * Returns the delay, in milliseconds, of an update that was sent at [sentAt] and received at [receivedMillis]. The
     * delay is 0 if the sender doesn't tell the time.
     */
    fun delayMillis(sentAt: SendingTime?, receivedMillis: Long): Long {
        if (sentAt == null) return 0
        val isLate = receivedMillis - streamOpenedMillis >= MAX_FIRST_ANSWER_MILLIS
        if (isLate && !clocks.isKnown(sentAt.clockId)) {
            clocks.toLocalMillis(sentAt.clockId, sentAt.millis, streamOpenedMillis)
        }
        return receivedMillis - clocks.toLocalMillis(sentAt.clockId, sentAt.millis, receivedMillis)
    }

    companion object {
        /** The time after which a stream that has not answered is replaced by a new one. */
        const val MAX_FIRST_ANSWER_MILLIS: Long = 1_000L
    }
}
