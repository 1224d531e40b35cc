package marigoldward.core.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What one entry knows of one upstream.
 *
 * @property attempts the entry's own attempts there, by number
 * @property report what the upstream last said of its load, or null
 * @property reportMillis when [report] came, in milliseconds of monotonic time
 * @property ownAtReport how many of the entry's own attempts were there when [report] came
 * @property readDelay how long the last prompt that was read waited there
 * @property prefixes the entry's last use of each prefix there, by key; the oldest first
 */
public data class UpstreamRecord(
    val listed: ListedUpstream,
    val health: UpstreamHealth,
    val attempts: PersistentMap<Long, Attempt>,
    val report: ReportedLoad?,
    val reportMillis: Long,
    val ownAtReport: Int,
    val readDelay: ReadDelay,
    val prefixes: PersistentMap<Long, PrefixUse>,
) {
    /** The prompt tokens that the entry's own attempts still have to read there. */
    val ownReadingTokens: Int get() = attempts.values.sumOf { if (it.isReading) it.tokensToRead else 0 }

    /** The entry's own attempts there that take a KV cache over and have not begun to generate. */
    val ownTakeOvers: Int get() = attempts.values.count { it.isReading && it.isTakeOver }

    /** The requests of others that wait there by the last report, 0 once that is old. */
    public fun othersWaiting(nowMillis: Long): Int {
        val known = report ?: return 0
        return if (nowMillis - reportMillis > REPORT_LIFE_MILLIS) 0 else known.waiting
    }

    /**
     * Returns how long a prompt waits there before it is read, in milliseconds.
     *
     * That is what the last one waited, less and less as time goes by, or what the entry's own prompts there need, or
     * how long one of these is overdue. If none was read there lately, it is at least [usualMillis], as elsewhere. Engines
     * read what they have begun in turn, whatever its rank.
     */
    public fun readWaitMillis(costs: PlacementCosts, usualMillis: Double, nowMillis: Long): Double {
        val isKnown = nowMillis - readDelay.seenMillis < KNOWN_MILLIS
        val leftMillis = readDelay.leftMillis(nowMillis)
        val seenMillis = if (isKnown) leftMillis else maxOf(leftMillis, usualMillis)
        val ownMillis = ownReadingTokens / costs.readTokensPerMilli
        return maxOf(seenMillis, ownMillis, oldestReadMillis(nowMillis) - ownMillis)
    }

    /** For how long the entry's oldest prompt there has not been read, in milliseconds. */
    private fun oldestReadMillis(nowMillis: Long): Double =
        attempts.values.filter { it.isReadingPrompt }.maxOfOrNull { nowMillis - it.startedMillis }?.toDouble() ?: 0.0

    /** The requests that are there at [nowMillis]: others' by the last report while that is fresh, and the own. */
    public fun requests(nowMillis: Long): Int = attempts.size + othersRequests(nowMillis)

    /** The requests of others that are there by the last report, 0 once that is old. */
    public fun othersRequests(nowMillis: Long): Int {
        val known = report ?: return 0
        if (nowMillis - reportMillis > REPORT_LIFE_MILLIS) return 0
        return maxOf(0, known.running + known.waiting - ownAtReport)
    }

    /** Returns the tokens of [prompt] that the upstream, which keeps its cache for [span], has to read. */
    public fun tokensToRead(prompt: Prompt, isHome: Boolean, span: CacheSpan, nowMillis: Long): Int {
        val known = prompt.prefixKeys.indexOfLast { key -> isCached(key, span, nowMillis) }
        val cachedParts = if (isHome) maxOf(known, prompt.parts.size - 2) else known
        val cachedTokens = prompt.parts.take(cachedParts + 1).sumOf { it.tokens }
        return maxOf(1, prompt.promptTokens - cachedTokens)
    }

    /** Whether the prefix [key] was sent there and is still kept. */
    public fun isCached(key: Long, span: CacheSpan, nowMillis: Long): Boolean {
        val use = prefixes[key] ?: return false
        return nowMillis - use.usedMillis < PREFIX_LIFE_MILLIS && span.isKept(use.takenTokens)
    }

    internal fun withPrefixes(prompt: Prompt, span: CacheSpan, nowMillis: Long): UpstreamRecord {
        val use = PrefixUse(nowMillis, span.takenTokens)
        val extended = prompt.prefixKeys.dropLast(1).fold(prefixes) { known, key -> known.remove(key).put(key, use) }
        val surplus = extended.keys.take(maxOf(0, extended.size - MAX_PREFIXES))
        return copy(prefixes = surplus.fold(extended) { known, key -> known.remove(key) })
    }

    /** Creates records. */
    public companion object {
        /** How long a report of load says anything, in milliseconds: about the time that a request takes. */
        private const val REPORT_LIFE_MILLIS = 1_000L

        /** How long a wait that was seen says more than what is usual, in milliseconds. */
        private const val KNOWN_MILLIS = 500L

        /** How long a prefix is taken to stay cached, in milliseconds: engines keep what is used often. */
        private const val PREFIX_LIFE_MILLIS = 20_000L
        private const val MAX_PREFIXES = 512

        /** Returns the record of an upstream that was just listed. */
        public fun fromListed(listed: ListedUpstream): UpstreamRecord = UpstreamRecord(
            listed,
            UpstreamHealth.UNKNOWN,
            persistentMapOf(),
            null,
            0,
            0,
            ReadDelay.NONE,
            persistentMapOf(),
        )
    }
}
