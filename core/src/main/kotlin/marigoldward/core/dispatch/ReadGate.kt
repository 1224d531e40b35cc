package marigoldward.core.dispatch

/**
 * Lets long prompts go to the engines that read a few at a time, the most urgent first.
 *
 * Engines read what they have begun in turn, so each long prompt there delays all short ones that come after it. All
 * entries together keep about [READS_PER_ENGINE] long prompts at each engine; the others wait here.
 */
public class ReadGate<T : Any> {
    private val waiting = ArrayList<Waiting<T>>()
    private var active = 0
    private var readMillis = FIRST_READ_MILLIS

    private class Waiting<T : Any>(val item: T, val priority: Int, val sinceMillis: Long)

    /** Whether a prompt with [tokens] tokens to read is long enough to need the gate. */
    public fun needsGate(tokens: Int): Boolean = tokens >= LONG_TOKENS

    /** Lets one through if fewer than [limit] are being read; returns whether it may go. */
    public fun tryEnter(limit: Int): Boolean {
        if (active >= limit || waiting.isNotEmpty()) return false
        active++
        return true
    }

    /** Returns how long a prompt of rank [priority] would wait here, in milliseconds. */
    public fun expectedWaitMillis(priority: Int, limit: Int): Double {
        val ahead = waiting.count { it.priority <= priority } + 1
        return ahead * readMillis / maxOf(1, limit)
    }

    /** Keeps [item], which came at [nowMillis], until [left] or [letOverdue] returns it. */
    public fun hold(item: T, priority: Int, nowMillis: Long) {
        val place = waiting.indexOfFirst { it.priority > priority }.let { if (it < 0) waiting.size else it }
        waiting.add(place, Waiting(item, priority, nowMillis))
    }

    /** Forgets [item] if it waits. */
    public fun forget(item: T) {
        waiting.removeAll { it.item === item }
    }

    /** Lets [item] go although it is not its turn. */
    public fun letOverdue(item: T) {
        forget(item)
        active++
    }

    /** Notes that one was read within [tookMillis]; returns the next to go, if [limit] allows one. */
    public fun left(tookMillis: Long, limit: Int): T? {
        active = maxOf(0, active - 1)
        readMillis += READ_STEP * (tookMillis - readMillis)
        if (active >= limit || waiting.isEmpty()) return null
        active++
        return waiting.removeAt(0).item
    }

    /** Numbers. */
    public companion object {
        /** The tokens from which on a prompt takes longer to read than an urgent one may wait: about 80 ms. */
        private const val LONG_TOKENS = 4_000

        /** The long prompts at each engine: one that is read, and one to follow it at once. */
        private const val READS_PER_ENGINE = 2.0

        /** The time that a long prompt takes until more is known, in milliseconds. */
        private const val FIRST_READ_MILLIS = 300.0
        private const val READ_STEP = 0.2

        /** Returns how many long prompts one of [entries] entries may have at [readers] engines at once. */
        public fun limit(readers: Int, entries: Int): Int =
            maxOf(1, Math.round(READS_PER_ENGINE * readers / maxOf(1, entries)).toInt())
    }
}
