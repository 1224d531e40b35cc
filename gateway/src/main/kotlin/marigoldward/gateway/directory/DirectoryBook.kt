package marigoldward.gateway.directory

import marigoldward.core.dispatch.ListedUpstream

/**
 * The newest list of upstreams that this entry has, from whatever source. Without clock of its own.
 *
 * @param spreadMillis spreads the readings of entries that miss the list at the same moment, in milliseconds
 */
internal class DirectoryBook(private val spreadMillis: Long) {
    private var asOfMillis: Long? = null
    private var readMillis = Long.MIN_VALUE / 2

    /** The list, or null before the first. */
    var upstreams: List<ListedUpstream>? = null
        private set

    /** Returns how old the list is, in milliseconds, or null before the first. */
    fun ageMillisOrNull(nowMillis: Long): Long? = asOfMillis?.let { nowMillis - it }

    /** Takes [list], which was read at [readMillis], unless a newer one is here; returns whether it was taken. */
    fun take(list: List<ListedUpstream>, readMillis: Long): Boolean {
        val known = asOfMillis
        if (known != null && readMillis < known) return false
        asOfMillis = readMillis
        upstreams = list
        return true
    }

    /** Notes that the list had not changed at [readMillis]. */
    fun confirm(readMillis: Long) {
        val known = asOfMillis ?: return
        asOfMillis = maxOf(known, readMillis)
    }

    /** Whether this entry should read the list by itself at [nowMillis]; if so, it is taken to do that. */
    fun shouldRead(nowMillis: Long): Boolean {
        val age = ageMillisOrNull(nowMillis) ?: Long.MAX_VALUE
        val isDue = age > OLD_MILLIS + spreadMillis && nowMillis - readMillis > PERIOD_MILLIS + spreadMillis
        if (isDue) readMillis = nowMillis
        return isDue
    }

    companion object {
        /** The age at which an entry no longer waits for others, in milliseconds: it missed a reading. */
        private const val OLD_MILLIS = 1_500L

        /** How often an entry reads the list that is on its own, in milliseconds. */
        private const val PERIOD_MILLIS = 1_000L

        /** The most by which entries spread their readings, in milliseconds. */
        const val MAX_SPREAD_MILLIS: Long = 400
    }
}
