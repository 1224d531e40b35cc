package marigoldward.support.directory

import marigoldward.core.dispatch.ListedUpstream

/**
 * The newest list of upstreams that a process has, read by itself or received from another process.
 *
 * It has no clock of its own: the caller passes the time. Not thread-safe.
 *
 * @param maxAgeMillis the age above which the process reads the list itself instead of waiting for another process to
 *     send it
 * @param readPeriodMillis the shortest time between two such reads
 */
public class DirectoryCache(private val maxAgeMillis: Long, private val readPeriodMillis: Long) {
    private var lastReadStartMillis = Long.MIN_VALUE / 2

    /** The list and the time at which it was last known to be current, or null before the first list. */
    public var reading: DirectoryReading? = null
        private set

    /** The list, or null before the first one. */
    public val upstreams: List<ListedUpstream>? get() = reading?.upstreams

    /** Returns the age of the list in milliseconds, or null before the first list. */
    public fun ageMillisOrNull(nowMillis: Long): Long? = reading?.let { nowMillis - it.readMillis }

    /** Replaces the list by [list], read at [readMillis], unless [list] is older. Returns whether it was replaced. */
    public fun replaceUnlessOlder(list: List<ListedUpstream>, readMillis: Long): Boolean {
        val current = reading
        if (current != null && readMillis < current.readMillis) return false
        reading = DirectoryReading(list, readMillis)
        return true
    }

    /** Returns whether the process should read the list itself at [nowMillis]. If so, the read counts as started. */
    public fun markReadStartedIfDue(nowMillis: Long): Boolean {
        val age = ageMillisOrNull(nowMillis) ?: Long.MAX_VALUE
        val isDue = age > maxAgeMillis && nowMillis - lastReadStartMillis > readPeriodMillis
        if (isDue) lastReadStartMillis = nowMillis
        return isDue
    }
}
