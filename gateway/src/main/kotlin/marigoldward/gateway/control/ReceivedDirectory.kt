package marigoldward.gateway.control

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.time.RemoteClocks
import marigoldward.wire.feed.FeedUpdate

/**
 * The list of upstreams as the followed control instance sends it: in full if it has changed, otherwise only its age.
 *
 * Remembers the list that the instance sent last, whether or not it was used, since an update without a list refers to
 * that one. Has no clock of its own and is not thread-safe.
 */
internal class ReceivedDirectory {
    private val clocks = RemoteClocks()
    private var lastList: List<ListedUpstream>? = null
    private var lastClockId: Long? = null

    /**
     * Returns the list of upstreams that [update], received at [receivedMillis], sends or refers to, and when it was
     * read. Returns null if the instance has none, or refers to one that was not received from it.
     */
    fun receiveOrNull(update: FeedUpdate, receivedMillis: Long): DirectoryReading? {
        val sentAt = update.sentAt
        val sentMillis =
            sentAt?.let { clocks.toLocalMillis(it.clockId, it.millis, receivedMillis) } ?: receivedMillis
        val ageMillis = update.directoryAgeMillis ?: return null
        val list = update.directory?.upstreams ?: lastList.takeIf { sentAt?.clockId == lastClockId } ?: return null
        lastList = list
        lastClockId = sentAt?.clockId
        return DirectoryReading(list, sentMillis - ageMillis)
    }
}
