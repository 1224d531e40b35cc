package marigoldward.support.directory

import marigoldward.core.dispatch.ListedUpstream

/**
 * The newest list of upstreams that a process has, from whatever source. Without clock of its own; used by one thread.
 *
 * @param oldMillis the age at which the process no longer waits for others to tell it, in milliseconds
 * @param periodMillis how often it reads the list itself while it is on its own, in milliseconds
 */
public class DirectoryBook(private val oldMillis: Long, private val periodMillis: Long) {
    private var asOfMillis: Long? = null
    private var triedMillis = Long.MIN_VALUE / 2

    /** The list, or null before the first. */
    public var upstreams: List<ListedUpstream>? = null
        private set

    /** Returns the list and when it was known to hold, or null before the first. */
    public fun readingOrNull(): DirectoryReading? = upstreams?.let { DirectoryReading(it, asOfMillis ?: return null) }

    /** Returns how old the list is, in milliseconds, or null before the first. */
    public fun ageMillisOrNull(nowMillis: Long): Long? = asOfMillis?.let { nowMillis - it }

    /** Takes [list], which was read at [readMillis], unless a newer one is here; returns whether it was taken. */
    public fun take(list: List<ListedUpstream>, readMillis: Long): Boolean {
        val known = asOfMillis
        if (known != null && readMillis < known) return false
        asOfMillis = readMillis
        upstreams = list
        return true
    }

    /** Notes that the list had not changed at [readMillis]. */
    public fun confirm(readMillis: Long) {
        val known = asOfMillis ?: return
        asOfMillis = maxOf(known, readMillis)
    }

    /** Whether the process should read the list by itself at [nowMillis]; if so, it is taken to do that. */
    public fun shouldRead(nowMillis: Long): Boolean {
        val age = ageMillisOrNull(nowMillis) ?: Long.MAX_VALUE
        val isDue = age > oldMillis && nowMillis - triedMillis > periodMillis
        if (isDue) triedMillis = nowMillis
        return isDue
    }
}
