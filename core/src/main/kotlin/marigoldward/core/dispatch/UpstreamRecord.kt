package marigoldward.core.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * State of one upstream as one gateway has observed it.
 *
 * @property attempts the gateway's attempts in progress at the upstream, by number
 * @property report the load that the upstream last reported, or null
 * @property reportMillis when [report] was received, in milliseconds of monotonic time
 * @property ownAttemptsAtReport how many of the gateway's attempts were in progress when [report] was received
 * @property prefillDelay the delay of the last prompt that was processed
 * @property prefixUses the gateway's last use of each prefix, by its key, the least recent first
 * @property speed how long work takes on the upstream
 * @property startNumber distinguishes the starts of the upstream that the gateway has seen
 */
public data class UpstreamRecord(
    val listed: ListedUpstream,
    val health: UpstreamHealth,
    val attempts: PersistentMap<Long, Attempt>,
    val report: ReportedLoad?,
    val reportMillis: Long,
    val ownAttemptsAtReport: Int,
    val prefillDelay: PrefillDelay,
    val prefixUses: PersistentMap<Long, PrefixUse>,
    val speed: UpstreamSpeed = UpstreamSpeed.UNKNOWN,
    val startNumber: Long = 0,
) {
    /** The prompt tokens that the upstream has still to process for the gateway's attempts. */
    val ownPendingPrefillTokens: Long
        get() = attempts.values.sumOf { if (it.isPromptPending) it.prefillTokens.toLong() else 0L }

    /** The number of the gateway's attempts whose KV cache has not been received yet. */
    val ownPendingCacheTransfers: Int get() = attempts.values.count { it.isPromptPending && it.isCacheTransfer }

    /** Returns the number of waiting requests in the last report, or 0 if the report is too old. */
    public fun otherWaitingRequests(nowMillis: Long): Int {
        val latest = report ?: return 0
        return if (nowMillis - reportMillis > MAX_REPORT_AGE_MILLIS) 0 else latest.waiting
    }

    /**
     * Returns how long a prompt is expected to wait at the upstream before it is processed, in milliseconds.
     *
     * This is the longest of the last observed delay, which decays with time, the time to process the gateway's pending
     * prompts, and the time by which the oldest of these is overdue. If no prompt was processed there lately, the wait
     * is at least [averageDelayMillis], the average of all engines. Priorities are ignored, since an engine serves the
     * prompts that it has begun in turn.
     */
    public fun prefillWaitMillis(costs: PlacementCosts, averageDelayMillis: Double, nowMillis: Long): Double {
        val isRecent = nowMillis - prefillDelay.observedMillis < MAX_DELAY_AGE_MILLIS
        val remainingMillis = prefillDelay.remainingMillis(nowMillis)
        val delayMillis = if (isRecent) remainingMillis else maxOf(remainingMillis, averageDelayMillis)
        val ownMillis = ownPendingPrefillTokens / costs.prefillTokensPerMilli * speed.factor(nowMillis)
        return maxOf(delayMillis, ownMillis, oldestPendingPrefillMillis(nowMillis) - ownMillis)
    }

    /** Returns the age of the gateway's oldest prompt that has not been processed, or 0 if there is none. */
    private fun oldestPendingPrefillMillis(nowMillis: Long): Double =
        attempts.values.filter { it.isPrefillPending }.maxOfOrNull { nowMillis - it.startedMillis }?.toDouble() ?: 0.0

    /**
     * Returns the number of requests at the upstream: the gateway's own, and those of other gateways by the last
     * report.
     */
    public fun requestCount(nowMillis: Long): Int = attempts.size + otherRequests(nowMillis)

    /** Returns the number of requests of other gateways in the last report, or 0 if the report is too old. */
    public fun otherRequests(nowMillis: Long): Int {
        val latest = report ?: return 0
        if (nowMillis - reportMillis > MAX_REPORT_AGE_MILLIS) return 0
        return maxOf(0, latest.running + latest.waiting - ownAttemptsAtReport)
    }

    /**
     * Returns the number of tokens of [prompt] that the upstream has to process, at least 1.
     *
     * A prefix owner is assumed to have the shared prefix cached. [retention] tells how long the upstream keeps the
     * others.
     */
    public fun prefillTokens(prompt: Prompt, isPrefixOwner: Boolean, retention: CacheRetention, nowMillis: Long): Int {
        val lastCachedPart = prompt.prefixKeys.indexOfLast { key -> isCached(key, retention, nowMillis) }
        val lastUsablePart = if (isPrefixOwner) maxOf(lastCachedPart, prompt.parts.size - 2) else lastCachedPart
        val cachedTokens = prompt.parts.take(lastUsablePart + 1).sumOf { maxOf(0, it.tokens).toLong() }
        return maxOf(1L, prompt.promptTokens - cachedTokens).toInt()
    }

    /** Whether the gateway has sent the prefix [key] to the upstream, which is expected to have it cached still. */
    public fun isCached(key: Long, retention: CacheRetention, nowMillis: Long): Boolean {
        val use = prefixUses[key] ?: return false
        return nowMillis - use.usedMillis < MAX_PREFIX_AGE_MILLIS && retention.isKept(use.sentTokens)
    }

    /** Returns the record after the same start was listed as [latest], which may leave out the time of the start. */
    internal fun listedAgain(latest: ListedUpstream): UpstreamRecord =
        copy(listed = latest.copy(startedUnixMillis = latest.startedUnixMillis ?: listed.startedUnixMillis))

    internal fun withPrefixUses(prompt: Prompt, retention: CacheRetention, nowMillis: Long): UpstreamRecord {
        val use = PrefixUse(nowMillis, retention.sentTokens)
        val extended = prompt.prefixKeys.dropLast(1).fold(prefixUses) { uses, key -> uses.remove(key).put(key, use) }
        val surplus = extended.keys.take(maxOf(0, extended.size - MAX_PREFIXES))
        return copy(prefixUses = surplus.fold(extended) { uses, key -> uses.remove(key) })
    }

    /** Creates records of upstreams. */
    public companion object {
        /** How long a reported load is used: about the time of one request. */
        private const val MAX_REPORT_AGE_MILLIS = 1_000L

        /** How long an observed delay is used without regard to the average of all engines. */
        private const val MAX_DELAY_AGE_MILLIS = 500L

        /**
         * How long a prefix is assumed to stay cached after its last use; engines evict the least recently used first.
         */
        private const val MAX_PREFIX_AGE_MILLIS = 20_000L
        private const val MAX_PREFIXES = 512

        /** Returns the initial record of a start, numbered [startNumber], of an upstream that was just listed. */
        public fun fromListed(listed: ListedUpstream, startNumber: Long = 0): UpstreamRecord = UpstreamRecord(
            listed,
            UpstreamHealth.UNKNOWN,
            persistentMapOf(),
            null,
            0,
            0,
            PrefillDelay.NONE,
            persistentMapOf(),
            startNumber = startNumber,
        )
    }
}
