package marigoldward.core.capacity

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.model.PoolName

/**
 * Measures the demand for engines from the totals that gateways report, and says how many engines it needs. Immutable.
 *
 * Totals that grow are added up, so a process that starts again at 0 changes nothing that was counted before. Only work
 * that was sent to engines is in the tokens, so the need also covers requests that were refused, and those in progress.
 */
public class DemandMeter private constructor(
    private val processes: PersistentMap<Long, Process>,
    private val history: List<Sample>,
) {
    private data class Process(
        val heardMillis: Long,
        val totals: Map<PoolName, Totals>,
        val inProgress: Map<PoolName, Int>,
    )

    private data class Totals(val promptTokens: Long, val outputTokens: Long, val requests: Long, val refused: Long) {
        operator fun plus(other: Totals): Totals = Totals(
            promptTokens + other.promptTokens,
            outputTokens + other.outputTokens,
            requests + other.requests,
            refused + other.refused,
        )

        operator fun minus(other: Totals): Totals = Totals(
            promptTokens - other.promptTokens,
            outputTokens - other.outputTokens,
            requests - other.requests,
            refused - other.refused,
        )
    }

    /** What was counted of all processes by [atMillis]. */
    private data class Sample(val atMillis: Long, val totals: Map<PoolName, Totals>)

    /** Returns the meter after the process [incarnation] reported [demand], which arrived at [receivedMillis]. */
    public fun withReport(incarnation: Long, demand: List<ServiceDemand>, receivedMillis: Long): DemandMeter {
        val reported = demand.associate {
            it.service to
                Totals(it.promptTokens, it.outputTokens, it.requests, it.refused)
        }
        val inProgress = demand.associate { it.service to it.waiting }
        val process = processes[incarnation]?.takeIf { receivedMillis - it.heardMillis <= RATE_MILLIS }
        val known = process?.totals.orEmpty()
        val latest = history.lastOrNull() ?: Sample(receivedMillis, emptyMap())
        // The first report of a process may cover a long time before it, as may the first one after this instance was
        // not the leader for a while.
        val isFirst = process == null
        val counted = reported.entries.fold(latest.totals) { totals, (service, total) ->
            val growth = if (isFirst) NOTHING else total - (known[service] ?: NOTHING)
            totals + (service to ((totals[service] ?: NOTHING) + growth))
        }
        val next = history.filter { receivedMillis - it.atMillis < HISTORY_MILLIS }.takeLast(MAX_SAMPLES) +
            Sample(receivedMillis, counted)
        val added = processes.put(incarnation, Process(receivedMillis, reported, inProgress))
        val forgotten = added.filterValues { receivedMillis - it.heardMillis > FORGOTTEN_MILLIS }.keys
        return DemandMeter(forgotten.fold(added) { kept, id -> kept.remove(id) }, thinned(next))
    }

    /** Keeps one sample of each [SAMPLE_MILLIS] and the newest. */
    private fun thinned(samples: List<Sample>): List<Sample> {
        val last = samples.size - 1
        return samples.filterIndexed { index, sample ->
            index == last ||
                index == 0 ||
                sample.atMillis / SAMPLE_MILLIS != samples[index + 1].atMillis / SAMPLE_MILLIS
        }
    }

    /** Returns how many processes have reported within the last [maxAgeMillis] before [nowMillis]. */
    public fun reportingCount(nowMillis: Long, maxAgeMillis: Long): Int =
        processes.values.count { nowMillis - it.heardMillis < maxAgeMillis }

    /**
     * Returns the number of engines that the demand for [service] has needed lately, without any reserve, or null if it
     * has not been measured for long enough.
     */
    public fun neededEnginesOrNull(service: PoolName, nowMillis: Long): Double? {
        val newest = history.lastOrNull() ?: return null
        val oldest = history.first { newest.atMillis - it.atMillis <= RATE_MILLIS }
        val seconds = (newest.atMillis - oldest.atMillis) / MILLIS_PER_SECOND
        val total = newest.totals[service] ?: return null
        if (seconds < MIN_RATE_SECONDS || nowMillis - newest.atMillis > RATE_MILLIS) return null
        val growth = total - (oldest.totals[service] ?: NOTHING)
        val served = growth.promptTokens / seconds / PROMPT_TOKENS_PER_ENGINE +
            growth.outputTokens / seconds / OUTPUT_TOKENS_PER_ENGINE
        val inProgress = processes.values
            .filter { nowMillis - it.heardMillis <= RATE_MILLIS }
            .sumOf { it.inProgress[service]?.toLong() ?: 0L }
        return maxOf(served * refusedFactor(growth), inProgress / REQUESTS_PER_ENGINE)
    }

    /** Returns by how much the demand exceeds what was served. At most [MAX_REFUSED_FACTOR]. */
    private fun refusedFactor(growth: Totals): Double {
        if (growth.refused <= 0 || growth.requests <= 0) return 1.0
        val servedFraction = (growth.requests - growth.refused) / growth.requests.toDouble()
        return minOf(MAX_REFUSED_FACTOR, 1 / maxOf(servedFraction, 1 / MAX_REFUSED_FACTOR))
    }

    /** Creates meters. */
    public companion object {
        private val NOTHING = Totals(0, 0, 0, 0)
        private const val MILLIS_PER_SECOND = 1_000.0

        /** A burst lasts about as long, and an engine boots in less. */
        private const val RATE_MILLIS = 5_000L
        private const val HISTORY_MILLIS = 2 * RATE_MILLIS
        private const val MIN_RATE_SECONDS = 2.0
        private const val SAMPLE_MILLIS = 250L
        private const val MAX_SAMPLES = 200
        private const val FORGOTTEN_MILLIS = 60_000L

        /**
         * The prompt tokens in a second that one engine processes while prompts seldom wait for each other: a third of
         * 50,000, the least that engines in use process at full load.
         */
        private const val PROMPT_TOKENS_PER_ENGINE = 17_000.0

        /**
         * The output tokens in a second of an engine whose streams don't pause: a third of what it generates at most.
         */
        private const val OUTPUT_TOKENS_PER_ENGINE = 4_000.0

        /** The requests in progress of an engine that runs up to 64 at once; some of them wait for others. */
        private const val REQUESTS_PER_ENGINE = 40.0

        /** Bounds the effect of callers who repeat refused requests at once. */
        private const val MAX_REFUSED_FACTOR = 2.0

        /** A meter that has counted nothing. */
        public val EMPTY: DemandMeter = DemandMeter(persistentMapOf(), emptyList())
    }
}
