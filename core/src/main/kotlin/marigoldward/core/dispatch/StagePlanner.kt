package marigoldward.core.dispatch

/**
 * Decides from what the engines of one service say of themselves which of them change their stage.
 *
 * An engine that generates starts to read prompts for others if prompts queue and the rest can carry its streams; one
 * that reads starts to generate if those that do are nearly full and no prompts queue. Immutable: each observation
 * gives the next state.
 *
 * @property queue the prompts that run or wait at each engine that reads, on a moving average
 * @property load the part of the engines that generate which is in use, on a moving average
 * @property nextChangeMillis no change before, in milliseconds of monotonic time
 */
public data class StagePlanner(val queue: Double, val load: Double, val nextChangeMillis: Long) {
    /** The next state, and the changes to be made now. */
    public data class Step(val planner: StagePlanner, val changes: List<StageChange>)

    /**
     * Returns what follows at [nowMillis] from [gauges], what the engines of one service that take work said.
     *
     * @param listed how many such engines there are; while several don't answer, nothing is changed
     */
    public fun observe(gauges: List<EngineGauge>, listed: Int, nowMillis: Long): Step {
        val readers = gauges.filter { it.stage == EngineStage.PREFILL }
        val decoders = gauges.filter { it.stage == EngineStage.DECODE }
        val seen =
            copy(
                queue = averaged(queue, readers.map { (it.running + it.waiting).toDouble() }.averageOrZero()),
                load = averaged(load, decoders.map(::usedPart).averageOrZero()),
            )
        val isWhole = gauges.size >= listed * WHOLE_PART
        val changes =
            when {
                decoders.isEmpty() -> missingDecoders(gauges, readers, 0)
                isWhole -> seen.changes(gauges, readers, decoders, nowMillis)
                else -> emptyList()
            }
        val next = if (changes.isEmpty()) seen else seen.copy(nextChangeMillis = nowMillis + PAUSE_MILLIS)
        return Step(next, changes)
    }

    /** Before the first work all caches are empty, so that prompts take longest to read in the first seconds. */
    private fun startingChanges(
        gauges: List<EngineGauge>,
        readers: Int,
        decoders: List<EngineGauge>,
    ): List<StageChange> {
        val wanted = Math.round(gauges.size * START_READER_PART).toInt() - readers
        val spare = minOf(wanted, spareDecoders(gauges.size, decoders.size))
        return donors(gauges, decoders, spare).map { StageChange(it, EngineStage.PREFILL) }
    }

    private fun changes(
        gauges: List<EngineGauge>,
        readers: List<EngineGauge>,
        decoders: List<EngineGauge>,
        nowMillis: Long,
    ): List<StageChange> {
        if (nowMillis < nextChangeMillis || gauges.any { it.isBusy }) return emptyList()
        return when {
            decoders.size < leastDecoders(gauges.size) -> missingDecoders(gauges, readers, decoders.size)
            isIdle(gauges) -> startingChanges(gauges, readers.size, decoders)
            queue >= LONG_QUEUE -> donors(gauges, decoders, spareDecoders(gauges.size, decoders.size))
                .map { StageChange(it, EngineStage.PREFILL) }
            load >= FULL_LOAD && queue < SHORT_QUEUE && readers.size > 1 ->
                donors(gauges, readers, 1).map { StageChange(it, EngineStage.DECODE) }
            queue < SHORT_QUEUE && load > 0 -> missingInPlaces(gauges)
            else -> emptyList()
        }
    }

    /** Engines that generate may all have left or failed: others take their place at once, unless they already do. */
    private fun missingDecoders(
        gauges: List<EngineGauge>,
        readers: List<EngineGauge>,
        decoders: Int,
    ): List<StageChange> {
        if (gauges.any { it.isBusy }) return emptyList()
        val missing = minOf(leastDecoders(gauges.size) - decoders, readers.size - 1)
        return leastBusy(readers, missing).map { StageChange(it, EngineStage.DECODE) }
    }

    /**
     * A data centre that is cut off serves its callers alone, so where there are two engines, both stages are wanted.
     * Prompts that queue everywhere go before that, and so do those that will before the first work.
     */
    private fun missingInPlaces(gauges: List<EngineGauge>): List<StageChange> = gauges
        .groupBy { it.engine.dataCentre }
        .values
        .filter { it.size > 1 }
        .mapNotNull { engines ->
            val missing = EngineStage.entries.firstOrNull { stage -> engines.none { it.stage == stage } }
            missing?.let { stage -> StageChange(leastBusy(engines, 1).first(), stage) }
        }

    private fun leastDecoders(engines: Int): Int = maxOf(1, Math.ceil(engines * LEAST_DECODER_PART).toInt())

    /** How many engines may stop generating now: the rest must carry the load, and some must always be left. */
    private fun spareDecoders(engines: Int, decoders: Int): Int {
        val least = leastDecoders(engines)
        val needed = Math.ceil(load * decoders / LIGHT_LOAD).toInt()
        return minOf(decoders - maxOf(least, needed), Math.ceil(decoders * MOST_CHANGED_PART).toInt())
    }

    /** The [count] of [engines] with the least to finish; the last of its stage in a data centre is taken last. */
    private fun donors(gauges: List<EngineGauge>, engines: List<EngineGauge>, count: Int): List<EngineGauge> {
        val inPlace = gauges.groupingBy { it.engine.dataCentre }.eachCount()
        val kept = engines
            .groupBy { it.engine.dataCentre }
            .filterKeys { inPlace.getValue(it) > 1 }
            .values
            .map { sameStage -> sameStage.sortedWith(LEAST_BUSY).last() }
            .toSet()
        val first = leastBusy(engines - kept, count)
        return first + leastBusy(kept.toList(), count - first.size)
    }

    /** The [count] of [engines] with the least to finish, so that each data centre keeps its part. */
    private fun leastBusy(engines: List<EngineGauge>, count: Int): List<EngineGauge> {
        val left = engines.toMutableList()
        return List(count.coerceIn(0, engines.size)) {
            val perDataCentre = left.groupingBy { it.engine.dataCentre }.eachCount()
            val mostFirst = compareByDescending<EngineGauge> { perDataCentre.getValue(it.engine.dataCentre) }
            left.sortedWith(mostFirst.then(LEAST_BUSY)).first().also(left::remove)
        }
    }

    private fun isIdle(gauges: List<EngineGauge>): Boolean =
        gauges.all { it.sequence == 0L && it.running == 0 && it.waiting == 0 && it.usedPart == 0.0 }

    private fun usedPart(gauge: EngineGauge): Double =
        maxOf(gauge.usedPart, (gauge.running + gauge.waiting).toDouble() / maxOf(1, gauge.engine.slots))

    private fun averaged(before: Double, now: Double): Double = before + AVERAGE_STEP * (now - before)

    private fun List<Double>.averageOrZero(): Double = if (isEmpty()) 0.0 else average()

    /** Creates planners. */
    public companion object {
        private val LEAST_BUSY: Comparator<EngineGauge> =
            compareBy<EngineGauge> { it.running + it.waiting }.thenBy { it.engine.id.text }

        /** The weight of the newest observation: three or four count. */
        private const val AVERAGE_STEP = 0.4

        /** Prompts per engine from which on some wait for others most of the time. */
        private const val LONG_QUEUE = 1.2

        /** Prompts per engine up to which one engine fewer would do. */
        private const val SHORT_QUEUE = 0.4

        /** The load up to which engines that generate take over the streams of another without delay. */
        private const val LIGHT_LOAD = 0.6
        private const val FULL_LOAD = 0.85

        /** The part of the engines that always generates, so that the loss of one does not stop the service. */
        private const val LEAST_DECODER_PART = 0.25

        /** The part of the engines that must answer: others may be cut off, and needed where they are. */
        private const val WHOLE_PART = 0.85

        /** The part of the engines that reads prompts when the first work comes. */
        private const val START_READER_PART = 0.65

        /** The most engines that change at once: the others take their work meanwhile. */
        private const val MOST_CHANGED_PART = 0.34

        /** The time for a change to be carried out and to show, in milliseconds. */
        private const val PAUSE_MILLIS = 4_000L

        /** The state before the first observation. */
        public val INITIAL: StagePlanner = StagePlanner(0.0, 0.0, Long.MIN_VALUE)
    }
}
