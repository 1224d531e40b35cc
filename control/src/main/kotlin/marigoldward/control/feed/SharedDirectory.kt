package marigoldward.control.feed

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.support.directory.DirectoryCache
import marigoldward.support.directory.DirectoryReading
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.peer.DirectoryUpdate

/**
 * The list of upstreams among the replicas: the leader reads it and tells the others, so that the calls to whoever keeps
 * the list don't grow with the replicas. One that hears nothing reads it itself.
 *
 * Without clock, thread or network of its own; may be used by several threads.
 *
 * @param firstEdition the number of the first list that is told; differs between processes
 */
internal class SharedDirectory(firstEdition: Long) {
    private val book = DirectoryCache(OLD_MILLIS, PERIOD_MILLIS)
    private var edition = firstEdition
    private var readMillis = Long.MIN_VALUE / 2
    private var heard: Heard? = null

    private class Heard(val edition: Long, val upstreams: List<ListedUpstream>)

    /** The list and when it was known to hold, or null before the first. */
    val readingOrNull: DirectoryReading? @Synchronized get() = book.reading

    /** Whether this replica should read the list now; if so, it is taken to do that. */
    @Synchronized
    fun shouldRead(role: Role, nowMillis: Long): Boolean = when (role) {
        Role.LEADER -> isLeaderDue(nowMillis)
        Role.FOLLOWER -> book.shouldRead(nowMillis)
        Role.OUTSIDER -> false
    }

    private fun isLeaderDue(nowMillis: Long): Boolean {
        val isDue = nowMillis - readMillis >= PERIOD_MILLIS
        if (isDue) readMillis = nowMillis
        return isDue
    }

    /** Takes what this replica has read; returns whether nothing newer was here. */
    @Synchronized
    fun read(reading: DirectoryReading): Boolean = take(reading.upstreams, reading.readMillis)

    /** Takes what the leader tells; returns whether it holds more than what is here. */
    @Synchronized
    fun told(news: DirectoryUpdate, nowMillis: Long): Boolean {
        news.snapshot?.let { heard = Heard(news.edition, it.upstreams) }
        val known = heard?.takeIf { it.edition == news.edition } ?: return false
        return take(known.upstreams, nowMillis - news.ageMillis)
    }

    private fun take(upstreams: List<ListedUpstream>, asOfMillis: Long): Boolean {
        val isChanged = upstreams != book.upstreams
        if (!book.take(upstreams, asOfMillis)) return false
        if (isChanged) edition++
        return true
    }

    /** Returns what a leader tells a replica that was told [toldEdition] before, or null if there is no list. */
    @Synchronized
    fun newsOrNull(toldEdition: Long?, nowMillis: Long): DirectoryUpdate? {
        val reading = book.reading ?: return null
        val snapshot = if (toldEdition == edition) null else DirectorySnapshot(reading.upstreams)
        return DirectoryUpdate(edition, nowMillis - reading.readMillis, snapshot)
    }

    /** What a replica is, as far as the list is concerned. */
    enum class Role { LEADER, FOLLOWER, OUTSIDER }

    private companion object {
        /** How often a leader, or one that hears nothing, reads the list; a fifth of the time in which it must be known. */
        const val PERIOD_MILLIS = 600L

        /** The age at which a follower no longer waits: a reading of the leader's, its heartbeat and the ways. */
        const val OLD_MILLIS = 1_100L
    }
}
