package marigoldward.gateway.control

import marigoldward.support.time.RemoteClocks
import marigoldward.wire.feed.SendingTime

/**
 * Tells how long the updates of control instances were under way, from the times at which they were sent.
 *
 * The delay of an update is how much later it came than the fastest recent one of the same instance, as [RemoteClocks]
 * defines it, and at most the time since its stream was opened. The first update of an instance has nothing to be
 * compared with. It counts as sent when its stream was opened if that was [MAX_FIRST_ANSWER_MILLIS] before or longer,
 * because this process may have been frozen meanwhile, and otherwise as sent when it came. Later updates are compared
 * with this time.
 *
 * Has no clock of its own and is not thread-safe.
 */
internal class UpdateDelays {
    private val clocks = RemoteClocks()

    /**
     * Returns the delay, in milliseconds, of an update that was sent at [sentAt] on a stream opened at
     * [streamOpenedMillis], and received at [receivedMillis]. The delay is 0 if the sender doesn't tell the time.
     */
    fun delayMillis(sentAt: SendingTime?, streamOpenedMillis: Long, receivedMillis: Long): Long {
        if (sentAt == null) return 0
        val openMillis = receivedMillis - streamOpenedMillis
        val isLateFirst = openMillis >= MAX_FIRST_ANSWER_MILLIS && !clocks.isKnown(sentAt.clockId)
        if (isLateFirst) clocks.toLocalMillis(sentAt.clockId, sentAt.millis, streamOpenedMillis)
        val delayMillis = receivedMillis - clocks.toLocalMillis(sentAt.clockId, sentAt.millis, receivedMillis)
        return minOf(delayMillis, openMillis)
    }

    companion object {
        /** The time after which a stream that has not answered is replaced by a new one. */
        const val MAX_FIRST_ANSWER_MILLIS: Long = 1_000L
    }
}
