package marigoldward.core.dispatch

/**
 * Limits how many long prompts are at the engines at once; the others wait in the gateway, the most urgent first.
 *
 * An engine processes the prompts that it has begun in turn, so each long prompt delays all short ones behind it. All
 * gateways together keep about [LONG_PROMPTS_PER_ENGINE] long prompts at each engine.
 */
public class LongPromptGate<T : Any> {
    private val waiting = ArrayList<Waiting<T>>()
    private var admitted = 0
    private var averageMillis = INITIAL_AVERAGE_MILLIS

    private class Waiting<T : Any>(val item: T, val priority: Int, val enqueuedMillis: Long)

    /** Whether a prompt with [tokens] tokens to process is subject to the limit. */
    public fun isLimited(tokens: Int): Boolean = tokens >= MIN_LONG_TOKENS

    /** Admits a prompt if fewer than [limit] are in progress and none waits; returns whether it was admitted. */
    public fun tryAdmit(limit: Int): Boolean {
        if (admitted >= limit || waiting.isNotEmpty()) return false
        admitted++
        return true
    }

    /** Returns how long a prompt of [priority] would wait for admission, in milliseconds. */
    public fun expectedWaitMillis(priority: Int, limit: Int): Double {
        val ahead = waiting.count { it.priority <= priority } + 1
        return ahead * averageMillis / maxOf(1, limit)
    }

    /** Adds [item] to the queue behind the items of the same or a more urgent priority. */
    public fun enqueue(item: T, priority: Int, nowMillis: Long) {
        val index = waiting.indexOfFirst { it.priority > priority }.let { if (it < 0) waiting.size else it }
        waiting.add(index, Waiting(item, priority, nowMillis))
    }

    /** Removes [item] from the queue, if it is there. */
    public fun remove(item: T) {
        waiting.removeAll { it.item === item }
    }

    /** Admits [item] without regard to the limit and to the items ahead of it. */
    public fun admitOutOfTurn(item: T) {
        remove(item)
        admitted++
    }

    /**
     * Records that an admitted prompt finished after [durationMillis]. Admits and returns the next item if [limit]
     * allows it, or returns null.
     */
    public fun release(durationMillis: Long, limit: Int): T? {
        admitted = maxOf(0, admitted - 1)
        averageMillis += AVERAGE_WEIGHT * (durationMillis - averageMillis)
        if (admitted >= limit || waiting.isEmpty()) return null
        admitted++
        return waiting.removeAt(0).item
    }

    /** Computes the limit of one gateway. */
    public companion object {
        /** From this size on, a prompt takes longer to process than an urgent one may wait, which is about 80 ms. */
        private const val MIN_LONG_TOKENS = 4_000

        /** One prompt in progress and one to follow it at once. */
        private const val LONG_PROMPTS_PER_ENGINE = 2.0

        /** The assumed time of a long prompt before the first measurement. */
        private const val INITIAL_AVERAGE_MILLIS = 300.0
        private const val AVERAGE_WEIGHT = 0.2

        /**
         * Returns how many long prompts one of [gateways] gateways may have at [prefillEngines] engines at once, at
         * least 1.
         */
        public fun limitPerGateway(prefillEngines: Int, gateways: Int): Int =
            maxOf(1, Math.round(LONG_PROMPTS_PER_ENGINE * prefillEngines / maxOf(1, gateways)).toInt())
    }
}
