package marigoldward.core.dispatch

import marigoldward.core.model.UpstreamId

/**
 * Decides which engines of one service change their stage, from the status that they report.
 *
 * An engine changes to prefill if prompts queue and the remaining engines in the decode stage can carry its streams. An
 * engine changes to decode if the engines in that stage are nearly full and no prompts queue. Immutable: each
 * observation returns the next state.
 *
 * Where engines are ordered and reclaimed while they serve, new ones start in the decode stage. The planner then also
 * keeps the fraction of engines in the prefill stage that it last decided on, without waiting for prompts to queue.
 *
 * @property prefillQueue the moving average of the running and waiting prompts per engine in the prefill stage
 * @property decodeLoad the moving average of the used fraction of the engines in the decode stage
 * @property nextChangeMillis the earliest time of the next change, in milliseconds of monotonic time
 * @property changingSet what is known of a set of engines that changes, or null if it doesn't
 */
public data class StagePlanner(
    val prefillQueue: Double,
    val decodeLoad: Double,
    val nextChangeMillis: Long,
    val changingSet: ChangingSet? = null,
) {
    /**
     * What a planner knows of a set of engines that changes.
     *
     * @property prefillFraction the fraction of engines that is to be in the prefill stage
     * @property engines the engines that reported last
     * @property unchangedSinceMillis since when the same engines have reported
     */
    public data class ChangingSet(
        val prefillFraction: Double,
        val engines: Set<UpstreamId>,
        val unchangedSinceMillis: Long,
    )

    /** The next state and the changes to order now. */
    public data class Step(val planner: StagePlanner, val changes: List<StageChange>)

    /**
     * Returns the next state and changes after an observation of [statuses] at [nowMillis].
     *
     * @param statuses the status of each engine of one service that accepts new work and has reported
     * @param listedCount the number of such engines, reported or not; while too many are missing, no changes are made
     * unless none of the reporting engines is in the decode stage
     * @param isScaled whether engines of the service are ordered and given up while it runs
     */
    public fun observe(
        statuses: List<EngineStatus>,
        listedCount: Int,
        nowMillis: Long,
        isScaled: Boolean = false,
    ): Step {
        val prefillEngines = statuses.filter { it.stage == EngineStage.PREFILL }
        val decodeEngines = statuses.filter { it.stage == EngineStage.DECODE }
        val observed =
            copy(
                prefillQueue = movingAverage(
                    prefillQueue,
                    prefillEngines.map { requests(it).toDouble() }.averageOrZero(),
                ),
                decodeLoad = movingAverage(decodeLoad, decodeEngines.map(::usedFraction).averageOrZero()),
                changingSet = if (isScaled) changingSetOf(statuses, prefillEngines.size, nowMillis) else null,
            )
        val hasEnoughReports = statuses.size >= listedCount * MIN_REPORTING_FRACTION
        val changes =
            when {
                decodeEngines.isEmpty() -> decodeChanges(statuses, prefillEngines, 0)
                hasEnoughReports -> observed.changes(statuses, prefillEngines, decodeEngines, nowMillis)
                else -> emptyList()
            }
        val next =
            if (changes.isEmpty()) observed else observed.changed(changes, statuses, prefillEngines.size, nowMillis)
        return Step(next, changes)
    }

    /** Returns the state after [changes], whose outcome is the fraction of engines to keep in the prefill stage. */
    private fun changed(
        changes: List<StageChange>,
        statuses: List<EngineStatus>,
        prefillCount: Int,
        nowMillis: Long,
    ): StagePlanner {
        val added = changes.count { it.newStage == EngineStage.PREFILL }
        val removed = changes.size - added
        val fraction = (prefillCount + added - removed) / statuses.size.toDouble()
        return copy(
            nextChangeMillis = nowMillis + CHANGE_INTERVAL_MILLIS,
            changingSet = changingSet?.let {
                // Changes may fall short of the fraction for want of engines, which is no reason to change it.
                it.copy(
                    prefillFraction = when {
                        added > removed -> maxOf(it.prefillFraction, fraction)
                        added < removed -> minOf(it.prefillFraction, fraction)
                        else -> it.prefillFraction
                    },
                )
            },
        )
    }

    private fun changingSetOf(statuses: List<EngineStatus>, prefillCount: Int, nowMillis: Long): ChangingSet {
        val engines = statuses.mapTo(HashSet()) { it.engine.id }
        val known = changingSet
        return when {
            known == null -> {
                val current = prefillCount / maxOf(1.0, statuses.size.toDouble())
                val fraction = if (isUnused(statuses)) INITIAL_PREFILL_FRACTION else current
                ChangingSet(fraction, engines, nowMillis)
            }
            known.engines == engines -> known
            else -> known.copy(engines = engines, unchangedSinceMillis = nowMillis)
        }
    }

    /**
     * Returns changes to prefill before the first request. All caches are empty then, so prompts take longest to
     * process in the first seconds.
     */
    private fun initialChanges(
        statuses: List<EngineStatus>,
        prefillCount: Int,
        decodeEngines: List<EngineStatus>,
    ): List<StageChange> {
        val wanted = Math.round(statuses.size * INITIAL_PREFILL_FRACTION).toInt() - prefillCount
        val spare = minOf(wanted, spareDecodeEngines(statuses.size, decodeEngines.size))
        return enginesToChange(statuses, decodeEngines, spare).map { StageChange(it, EngineStage.PREFILL) }
    }

    private fun changes(
        statuses: List<EngineStatus>,
        prefillEngines: List<EngineStatus>,
        decodeEngines: List<EngineStatus>,
        nowMillis: Long,
    ): List<StageChange> {
        if (changingSet != null) {
            newEngineChanges(changingSet, statuses, prefillEngines, decodeEngines, nowMillis)?.let { return it }
        }
        if (nowMillis < nextChangeMillis || statuses.any { it.isExecutingOrder }) return emptyList()
        return when {
            decodeEngines.size < minDecodeEngines(statuses.size) ->
                decodeChanges(statuses, prefillEngines, decodeEngines.size)
            isUnused(statuses) -> initialChanges(statuses, prefillEngines.size, decodeEngines)
            prefillQueue >= LONG_QUEUE ->
                enginesToChange(statuses, decodeEngines, spareDecodeEngines(statuses.size, decodeEngines.size))
                    .map { StageChange(it, EngineStage.PREFILL) }
            decodeLoad >= FULL_LOAD && prefillQueue < SHORT_QUEUE && prefillEngines.size > 1 ->
                enginesToChange(statuses, prefillEngines, 1).map { StageChange(it, EngineStage.DECODE) }
            prefillQueue < SHORT_QUEUE && decodeLoad > 0 -> missingStageChanges(statuses)
            else -> emptyList()
        }
    }

    /**
     * Returns changes of engines that have had no order yet to the prefill stage, as far as the fraction in [set]
     * requires and the load of the decode stage permits, or null if none is due. They are made while other orders are
     * in progress: an engine that executes one in the decode stage counts as one in the prefill stage.
     *
     * Before the first request, an empty list is returned until the set has settled, since most engines may be
     * replaced.
     */
    private fun newEngineChanges(
        set: ChangingSet,
        statuses: List<EngineStatus>,
        prefillEngines: List<EngineStatus>,
        decodeEngines: List<EngineStatus>,
        nowMillis: Long,
    ): List<StageChange>? {
        val hasTraffic =
            prefillQueue > 0 || decodeLoad > 0 || statuses.any { requests(it) > 0 || it.kvUsedFraction > 0 }
        if (!hasTraffic && nowMillis - set.unchangedSinceMillis < SETTLED_MILLIS) return emptyList()
        val leavingPrefill = prefillEngines.count { it.isExecutingOrder }
        val joiningPrefill = decodeEngines.count { it.isExecutingOrder }
        val prefillCount = prefillEngines.size + joiningPrefill - leavingPrefill
        val decodeCount = decodeEngines.size + leavingPrefill - joiningPrefill
        val missing = Math.floor(statuses.size * set.prefillFraction + ROUNDING).toInt() - prefillCount
        val needed = Math.ceil(decodeLoad * decodeEngines.size / LIGHT_LOAD).toInt()
        val spare = decodeCount - maxOf(minDecodeEngines(statuses.size), needed)
        val candidates = decodeEngines.filter { it.orderSequence == 0L && !it.isExecutingOrder }
        val chosen = enginesToChange(statuses, candidates, minOf(missing, spare))
        return chosen.map { StageChange(it, EngineStage.PREFILL) }.ifEmpty { null }
    }

    /**
     * Returns changes to decode that replace engines which have left or failed. They are made at once, unless orders
     * are in progress already.
     */
    private fun decodeChanges(
        statuses: List<EngineStatus>,
        prefillEngines: List<EngineStatus>,
        decodeCount: Int,
    ): List<StageChange> {
        if (statuses.any { it.isExecutingOrder }) return emptyList()
        val missing = minOf(minDecodeEngines(statuses.size) - decodeCount, prefillEngines.size - 1)
        return leastBusy(prefillEngines, missing).map { StageChange(it, EngineStage.DECODE) }
    }

    /**
     * Returns a change for each data centre of two or more engines that lacks a stage, because a data centre that is
     * cut off serves its callers alone. Prompts that queue everywhere take precedence, and so do the changes before the
     * first request.
     */
    private fun missingStageChanges(statuses: List<EngineStatus>): List<StageChange> = statuses
        .groupBy { it.engine.dataCentre }
        .values
        .filter { it.size > 1 }
        .mapNotNull { engines ->
            val missing = EngineStage.entries.firstOrNull { stage -> engines.none { it.stage == stage } }
            missing?.let { stage -> StageChange(leastBusy(engines, 1).first(), stage) }
        }

    private fun minDecodeEngines(engineCount: Int): Int = maxOf(1, Math.ceil(engineCount * MIN_DECODE_FRACTION).toInt())

    /**
     * Returns how many engines may leave the decode stage now. The others must carry the load, and a minimum always
     * stays.
     */
    private fun spareDecodeEngines(engineCount: Int, decodeCount: Int): Int {
        val minimum = minDecodeEngines(engineCount)
        val needed = Math.ceil(decodeLoad * decodeCount / LIGHT_LOAD).toInt()
        return minOf(decodeCount - maxOf(minimum, needed), Math.ceil(decodeCount * MAX_CHANGED_FRACTION).toInt())
    }

    /**
     * Returns up to [count] of [engines], the least busy first. The last engine of its stage in a data centre comes
     * last.
     */
    private fun enginesToChange(
        statuses: List<EngineStatus>,
        engines: List<EngineStatus>,
        count: Int,
    ): List<EngineStatus> {
        val countByDataCentre = statuses.groupingBy { it.engine.dataCentre }.eachCount()
        val lastOfStage = engines
            .groupBy { it.engine.dataCentre }
            .filterKeys { countByDataCentre.getValue(it) > 1 }
            .values
            .map { sameStage -> sameStage.sortedWith(LEAST_BUSY_FIRST).last() }
            .toSet()
        val preferred = leastBusy(engines - lastOfStage, count)
        return preferred + leastBusy(lastOfStage.toList(), count - preferred.size)
    }

    /** Returns up to [count] of [engines], the least busy of the data centre with the most candidates first. */
    private fun leastBusy(engines: List<EngineStatus>, count: Int): List<EngineStatus> {
        val remaining = engines.toMutableList()
        return List(count.coerceIn(0, engines.size)) {
            val countByDataCentre = remaining.groupingBy { it.engine.dataCentre }.eachCount()
            val mostFirst = compareByDescending<EngineStatus> { countByDataCentre.getValue(it.engine.dataCentre) }
            remaining.sortedWith(mostFirst.then(LEAST_BUSY_FIRST)).first().also(remaining::remove)
        }
    }

    private fun isUnused(statuses: List<EngineStatus>): Boolean =
        statuses.all { it.orderSequence == 0L && it.running == 0 && it.waiting == 0 && it.kvUsedFraction == 0.0 }

    private fun usedFraction(status: EngineStatus): Double =
        maxOf(status.kvUsedFraction, requests(status).toDouble() / maxOf(1, status.engine.slots))

    private fun movingAverage(previous: Double, current: Double): Double =
        previous + AVERAGE_WEIGHT * (current - previous)

    private fun List<Double>.averageOrZero(): Double = if (isEmpty()) 0.0 else average()

    /** Creates planners. */
    public companion object {
        private val LEAST_BUSY_FIRST: Comparator<EngineStatus> =
            compareBy<EngineStatus>(::requests).thenBy { it.engine.id.text }

        /** Weight of the newest observation: the average covers three or four. */
        private const val AVERAGE_WEIGHT = 0.4

        /** Prompts per engine from which on some wait for others most of the time. */
        private const val LONG_QUEUE = 1.2

        /** Prompts per engine below which one engine fewer would suffice. */
        private const val SHORT_QUEUE = 0.4

        /** The load up to which the engines in the decode stage take over the streams of another without delay. */
        private const val LIGHT_LOAD = 0.6
        private const val FULL_LOAD = 0.85

        /** The smallest fraction of engines in the decode stage, so that the loss of one does not stop the service. */
        private const val MIN_DECODE_FRACTION = 0.25

        /**
         * The fraction of engines that must report. Missing ones may be cut off, and their data centre needs the
         * engines it has.
         */
        private const val MIN_REPORTING_FRACTION = 0.85

        /** The desired fraction of engines in the prefill stage before the first request. */
        private const val INITIAL_PREFILL_FRACTION = 0.65

        /** Tolerates that a small set can't be divided exactly, so that no engine changes for less than 0.7 of one. */
        private const val ROUNDING = 0.3

        /** Longer than most engines take to boot (4 s) and to be listed. */
        private const val SETTLED_MILLIS = 6_000L

        /** The largest fraction of decoding engines that changes at once; the others take over their work meanwhile. */
        private const val MAX_CHANGED_FRACTION = 0.34

        /** The time for a change to be carried out and to show in the reports. */
        private const val CHANGE_INTERVAL_MILLIS = 4_000L

        /** The state before the first observation. */
        public val INITIAL: StagePlanner = StagePlanner(0.0, 0.0, Long.MIN_VALUE)

        /** Returns the number of requests that an engine runs or that wait for it. */
        private fun requests(status: EngineStatus): Long = status.running.toLong() + status.waiting
    }
}
