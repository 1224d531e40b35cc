package marigoldward.support.directory

import marigoldward.core.dispatch.ListedUpstream

/**
 * The newest list of upstreams that a process has, from whatever source. Without clock of its own; used by one thread.
 *
 * @param oldMillis the age at which the process no longer waits for others to tell it, in milliseconds
 * @param periodMillis how often it reads the list itself while it is on its own, in milliseconds
 */
public class DirectoryBook(private val oldMillis: Long, private val periodMillis: Long) {
    private var triedMillis = Long.MIN_VALUE / 2

    /** The list and when it was known to hold, or null before the first. */
    public var reading: DirectoryReading? = null
        private set

    /** The list, or null before the first. */
    public val upstreams: List<ListedUpstream>? get() = reading?.upstreams

    /** Returns how old the list is, in milliseconds, or null before the first. */
    public fun ageMillisOrNull(nowMillis: Long): Long? = reading?.let { nowMillis - it.readMillis }

    /** Takes [list], which was read at [readMillis], unless a newer one is here; returns whether it was taken. */
    public fun take(list: List<ListedUpstream>, readMillis: Long): Boolean {
        val known = reading
        if (known != null && readMillis < known.readMillis) return false
        reading = DirectoryReading(list, readMillis)
        return true
    }

    /** Notes that the list had not changed at [readMillis]. */
    public fun confirm(readMillis: Long) {
        val known = reading ?: return
        reading = known.copy(readMillis = maxOf(known.readMillis, readMillis))
    }

    /** Whether the process should read the list by itself at [nowMillis]; if so, it is taken to do that. */
    public fun shouldRead(nowMillis: Long): Boolean {
        val age = ageMillisOrNull(nowMillis) ?: Long.MAX_VALUE
        val isDue = age > oldMillis && nowMillis - triedMillis > periodMillis
        if (isDue) triedMillis = nowMillis
        return isDue
    }
}
