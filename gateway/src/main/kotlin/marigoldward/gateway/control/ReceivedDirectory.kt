package marigoldward.gateway.control

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.support.directory.DirectoryReading
import marigoldward.wire.feed.FeedUpdate

/**
 * The list of upstreams as the followed control instance sends it: in full if it has changed, otherwise only its age.
 *
 * Remembers the list that the instance sent last, whether or not it was used, since an update without a list refers to
 * that one. Has no clock of its own and is not thread-safe.
 */
internal class ReceivedDirectory {
    private var lastList: List<ListedUpstream>? = null

    /**
     * Returns the list of upstreams that [update], received at [receivedMillis], sends or refers to, and when it was
     * read, or null if the instance has none.
     */
    fun receiveOrNull(update: FeedUpdate, receivedMillis: Long): DirectoryReading? {
        val ageMillis = update.directoryAgeMillis ?: return null
        val list = update.directory?.upstreams ?: lastList ?: return null
        lastList = list
        return DirectoryReading(list, receivedMillis - ageMillis)
    }
}
