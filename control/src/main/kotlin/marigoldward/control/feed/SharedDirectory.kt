package marigoldward.control.feed

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.support.directory.DirectoryCache
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.time.RemoteClocks
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.SendingTime
import marigoldward.wire.peer.DirectoryUpdate

/**
 * The list of upstreams as the replicas share it. The leader reads it and sends it to the others, so that the load on
 * the directory doesn't grow with the number of replicas. A follower whose list is too old reads it itself.
 *
 * Has no clock, thread or network connection of its own. Thread-safe.
 *
 * @param firstEdition the number of the first list that is sent; must differ between processes
 * @param clockId identifies the monotonic clock of this process
 */
internal class SharedDirectory(firstEdition: Long, private val clockId: Long) {
    private val newestList = DirectoryCache(MAX_FOLLOWER_AGE_MILLIS, READ_PERIOD_MILLIS)
    private var edition = firstEdition
    private var lastLeaderReadMillis = Long.MIN_VALUE / 2
    private var lastSnapshot: ReceivedSnapshot? = null
    private val clocks = RemoteClocks()

    private class ReceivedSnapshot(val edition: Long, val upstreams: List<ListedUpstream>)

    /** The list and when it was known to be valid, or null if there is none yet. */
    val readingOrNull: DirectoryReading? @Synchronized get() = newestList.reading

    /**
     * Returns whether this replica should read the list now. If so, the read counts as started and the next one is due
     * after a period.
     */
    @Synchronized
    fun markReadStartedIfDue(role: Role, nowMillis: Long): Boolean = when (role) {
        Role.LEADER -> isLeaderReadingDue(nowMillis)
        Role.FOLLOWER -> newestList.markReadStartedIfDue(nowMillis)
        Role.OUTSIDER -> false
    }

    private fun isLeaderReadingDue(nowMillis: Long): Boolean {
        val isDue = nowMillis - lastLeaderReadMillis >= READ_PERIOD_MILLIS
        if (isDue) lastLeaderReadMillis = nowMillis
        return isDue
    }

    /** Records what this replica has read, unless a newer list is known, and returns whether it was recorded. */
    @Synchronized
    fun recordReading(reading: DirectoryReading): Boolean = recordIfNewer(reading.upstreams, reading.readMillis)

    /**
     * Records what the leader has sent, unless a newer list is known or the list of its edition was missed, and returns
     * whether it was recorded.
     */
    @Synchronized
    fun receive(update: DirectoryUpdate, nowMillis: Long): Boolean {
        update.snapshot?.let { lastSnapshot = ReceivedSnapshot(update.edition, it.upstreams) }
        val known = lastSnapshot?.takeIf { it.edition == update.edition } ?: return false
        val sentMillis = update.sentAt?.let { clocks.toLocalMillis(it.clockId, it.millis, nowMillis) } ?: nowMillis
        return recordIfNewer(known.upstreams, sentMillis - update.ageMillis)
    }

    private fun recordIfNewer(upstreams: List<ListedUpstream>, validAtMillis: Long): Boolean {
        val isChanged = upstreams != newestList.upstreams
        if (!newestList.replaceUnlessOlder(upstreams, validAtMillis)) return false
        if (isChanged) edition++
        return true
    }

    /** Returns the update for a replica that was last sent [sentEdition], or null if there is no list. */
    @Synchronized
    fun updateOrNull(sentEdition: Long?, nowMillis: Long): DirectoryUpdate? {
        val reading = newestList.reading ?: return null
        val snapshot = if (sentEdition == edition) null else DirectorySnapshot(reading.upstreams)
        return DirectoryUpdate(edition, nowMillis - reading.readMillis, snapshot, SendingTime(clockId, nowMillis))
    }

    /** The role of a replica, which decides how it gets the list. */
    enum class Role { LEADER, FOLLOWER, OUTSIDER }

    private companion object {
        /** How often a replica reads the list itself; a fifth of the time within which a change must be known. */
        const val READ_PERIOD_MILLIS = 600L

        /**
         * The age above which a follower reads the list itself: the leader's reading period, a heartbeat and the
         * latency.
         */
        const val MAX_FOLLOWER_AGE_MILLIS = 1_100L
    }
}
