package marigoldward.core.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import marigoldward.core.internal.RendezvousHashing
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import kotlin.random.Random

/**
 * Chooses the upstreams for the requests of one gateway, from the state of the upstreams that the gateway has observed.
 *
 * Has no clock, thread or network of its own and is not thread-safe. [seed] seeds the random numbers that break near
 * ties.
 */
public class Dispatcher(private val dataCentre: DataCentre, private val costs: PlacementCosts, private val seed: Long) {
    private val random = Random(seed)
    private var records: PersistentMap<UpstreamId, UpstreamRecord> = persistentMapOf()
    private val leavingUpstreams = LeavingUpstreams()
    private var nextAttemptNumber = 1L
    private var nextDrawNumber = 1L
    private var nextStartNumber = 1L
    private var averagePrefillDelay = PrefillDelay.NONE
    private var directPrefillRate = DirectPrefillRate.NONE
    private val retentionEstimator = CacheRetentionEstimator()
    private val workTimes = WorkTimes()

    /** The number of gateways that send to the same upstreams, including this one. */
    public var gatewayCount: Int = GatewayCount.UNKNOWN_COUNT

    /** Returns the record of the upstream [id], or null if it is not listed. */
    public fun recordOrNull(id: UpstreamId): UpstreamRecord? = records[id]

    /** Returns the number of engines of [service] that are in the prefill stage and accept new work. */
    public fun prefillEngineCount(service: PoolName): Int = records.values.count { record ->
        record.listed.service == service && record.listed.stage == EngineStage.PREFILL && !record.listed.isLeaving
    }

    /**
     * Replaces the list of upstreams by [upstreams], which was read at [readMillis]. An upstream that stays listed keeps its
     * record, and stays leaving, as [LeavingUpstreams] defines it. One that has started again gets a new record: nothing
     * that was observed of the start before holds for it, and attempts in progress there aren't its own.
     */
    public fun updateUpstreams(upstreams: List<ListedUpstream>, readMillis: Long): LeavingUpstreams.AppliedList {
        val applied = leavingUpstreams.apply(upstreams, readMillis)
        val returnedIds = applied.returned.mapTo(HashSet()) { it.id }
        val restarted = applied.upstreams.filter { listed ->
            val known = records[listed.id] ?: return@filter false
            listed.id in returnedIds || listed.isNewStartAfter(known.listed)
        }
        val restartedIds = restarted.mapTo(HashSet()) { it.id }
        val updated = applied.upstreams.associate { listed ->
            val known = records[listed.id]?.takeIf { listed.id !in restartedIds }
            listed.id to (known?.listedAgain(listed) ?: UpstreamRecord.fromListed(listed, nextStartNumber++))
        }
        val absent = records.filter { (id, record) -> id !in updated && record.attempts.isNotEmpty() }
        val retained = absent.mapValues { (_, record) -> record.copy(listed = record.listed.copy(isLeaving = true)) }
        records = (updated + retained).toPersistentMap()
        return applied.copy(restarted = restarted)
    }

    /**
     * Records that [upstream] announced in an answer, received at [nowMillis], that it is leaving, and returns whether
     * that is new. From now on no request is placed there, whatever the directory says; those in progress go on.
     */
    public fun recordLeaving(upstream: ListedUpstream, nowMillis: Long): Boolean {
        val record = records[upstream.id]
        if (record != null && record.listed.isOtherStartThan(upstream)) return false
        if (!leavingUpstreams.recordAnswer(upstream, nowMillis)) return false
        update(upstream.id) { it.copy(listed = it.listed.copy(isLeaving = true)) }
        return true
    }

    /** Whether the upstream [id] is listed and not leaving. */
    public fun acceptsRequests(id: UpstreamId): Boolean = records[id]?.listed?.isLeaving == false

    /** Chooses an upstream of the plain service [service], none of [tried], for a request of [kind] (null: unknown). */
    public fun place(service: PoolName, tried: Set<UpstreamId>, nowMillis: Long, kind: String? = null): Placement {
        val usable = usableRecords(service, tried, nowMillis)
        if (usable.isEmpty()) return Placement.None(reasonForNone(service))
        val workMillis = workTimes.averageOrNull(kind) ?: costs.fullUpstreamMillis
        val chosen = cheapest(candidates(usable)) { serviceCost(it, workMillis, nowMillis) }
        return Placement.Single(chosen.listed, 0)
    }

    /** Chooses the engine or the pair of engines for the generation [request], none of [tried]. */
    public fun place(request: GenerationRequest, tried: Set<UpstreamId>, nowMillis: Long): Placement {
        val prompt = request.prompt
        val usable = usableRecords(request.service, tried, nowMillis)
        val decodeEngines = usable.filter { it.listed.stage != EngineStage.PREFILL }
        if (decodeEngines.isEmpty()) return Placement.None(reasonForNone(request.service))
        val prefillEngines =
            if (request.maySplit) usable.filter { it.listed.stage == EngineStage.PREFILL } else emptyList()
        recordCacheCapacity(decodeEngines, request)
        recordCacheCapacity(prefillEngines, request)
        val pricing = pricing(request, decodeEngines.size, nowMillis)
        val singleCandidates = decodeEngines.map {
            pricing.single(it, prefillTokens(it, prompt, isPrefixOwner = false, nowMillis))
        }
        val prefillPrefixOwner = prefixOwnerOrNull(prefillEngines, prompt)
        val decodePrefixOwner = prefixOwnerOrNull(decodeEngines, prompt)
        val decodeCosts = decodeEngines.map {
            withTieBreak(pricing.decodeCost(it, isPrefixOwner = it.listed.id == decodePrefixOwner))
        }
        val prefillCosts = prefillEngines.map {
            val tokens = prefillTokens(it, prompt, it.listed.id == prefillPrefixOwner, nowMillis)
            withTieBreak(pricing.prefillCost(it, tokens))
        }
        val bestSplit = pricing.bestSplitOrNull(prefillCosts, decodeCosts)
        val best = (singleCandidates + listOfNotNull(bestSplit))
            .minBy { if (it === bestSplit) it.price else it.price + tieBreakPrice() }
        val isTooLate = best.expectedMillis > request.remainingMillis * MAX_FIRST_EVENT_FRACTION
        if (isTooLate) return Placement.None(Placement.Reason.TOO_LATE)
        return withCacheSource(best.placement, prompt, listOfNotNull(prefillPrefixOwner, decodePrefixOwner))
    }

    /**
     * Lets the engine that processes the prompt copy the shared prefix from the first other engine of [prefixOwners].
     *
     * Copying takes about a twentieth of the time of computing the prefix, and nothing is lost if the source has
     * dropped it. Prefixes shorter than [MIN_COPIED_TOKENS] are not copied. The possible copy has no influence on the
     * choice of engines: if it did, the copies would evict prefixes that other requests use.
     */
    private fun withCacheSource(placement: Placement, prompt: Prompt, prefixOwners: List<UpstreamId>): Placement {
        if (prompt.sharedPrefixTokens < MIN_COPIED_TOKENS) return placement
        fun cacheSourceFor(engine: ListedUpstream): ListedUpstream? =
            prefixOwners.firstOrNull { it != engine.id }?.let { records[it]?.listed }
        return when (placement) {
            is Placement.None -> placement
            is Placement.Split -> placement.copy(cacheSource = cacheSourceFor(placement.prefill))
            is Placement.Single -> placement.copy(cacheSource = cacheSourceFor(placement.upstream))
        }
    }

    /**
     * Returns the engine that receives the KV cache which [prefillEngine] has computed for [request], or null if there
     * is none.
     */
    public fun decodeEngineOrNull(
        request: GenerationRequest,
        prefillEngine: ListedUpstream,
        tried: Set<UpstreamId>,
        nowMillis: Long,
    ): ListedUpstream? {
        val record = records[prefillEngine.id] ?: UpstreamRecord.fromListed(prefillEngine)
        val usable = usableRecords(request.service, tried, nowMillis)
        val decodeEngines = usable.filter { it.listed.stage != EngineStage.PREFILL }
        val pricing = pricing(request, decodeEngines.size, nowMillis)
        val prefillCost = pricing.prefillCost(record, Attempt.CACHE_TRANSFER_PREFILL_TOKENS)
        val decodePrefixOwner = prefixOwnerOrNull(decodeEngines, request.prompt)
        return decodeEngines
            .minByOrNull { pricing.split(prefillCost, pricing.decodeCost(it, it.listed.id == decodePrefixOwner)).price }
            ?.listed
    }

    /**
     * Records that a request was sent to [upstream] at [nowMillis], which has to process [prefillTokens] prompt tokens.
     * [kind] is the kind of work, for a request to a plain service.
     */
    public fun recordStart(
        upstream: UpstreamId,
        prompt: Prompt?,
        prefillTokens: Int,
        nowMillis: Long,
        kind: String? = null,
    ): Attempt {
        val isPromptPending = prefillTokens > 0
        val startNumber = records[upstream]?.startNumber ?: 0
        val attempt =
            Attempt(nextAttemptNumber++, upstream, prefillTokens, isPromptPending, nowMillis, kind, startNumber)
        update(upstream) { record ->
            val counted = record.copy(attempts = record.attempts.put(attempt.number, attempt))
            if (prompt == null) counted else withSentPrompt(counted, prompt, attempt)
        }
        return attempt
    }

    private fun withSentPrompt(record: UpstreamRecord, prompt: Prompt, attempt: Attempt): UpstreamRecord {
        val nowMillis = attempt.startedMillis
        val newTokens = prefillTokens(record, prompt, isPrefixOwner = false, nowMillis)
        retentionEstimator.recordSentTokens(record.listed, newTokens)
        if (record.listed.stage == EngineStage.DECODE && !attempt.isCacheTransfer) {
            directPrefillRate = directPrefillRate.plus(GenerationPricing.prefillSteps(attempt.prefillTokens), nowMillis)
        }
        return record.withPrefixUses(prompt, retentionEstimator.retentionOf(record.listed), nowMillis)
    }

    /** Records that the prompt of [attempt] was processed, or its KV cache received, by [nowMillis]. */
    public fun recordPromptReady(attempt: Attempt, nowMillis: Long) {
        update(attempt.upstream) { record ->
            val current = record.attempts[attempt.number]
            if (current == null || !current.isPromptPending) return@update record
            val factor = if (record.listed.stage == EngineStage.PREFILL) 1.0 else costs.decodeStagePrefillFactor
            val normalMillis = factor * costs.prefillMillis(current.prefillTokens)
            val expectedMillis = normalMillis * record.speed.factor(nowMillis)
            val delayMillis = maxOf(0.0, nowMillis - current.startedMillis - expectedMillis)
            if (record.listed.stage == EngineStage.PREFILL) {
                averagePrefillDelay = averagePrefillDelay.averaged(delayMillis, nowMillis)
            }
            record.copy(
                attempts = record.attempts.put(attempt.number, current.copy(isPromptPending = false)),
                prefillDelay = PrefillDelay(delayMillis, nowMillis),
            )
        }
    }

    /**
     * Records that [attempt] ended as [end] at [nowMillis]; [hasReceivedBytes] is whether bytes of its own answer were
     * received, malformed ones included. Does nothing if the upstream has started again since it was sent.
     */
    public fun recordEnd(attempt: Attempt, end: AttemptEnd, nowMillis: Long, hasReceivedBytes: Boolean = false) {
        if (hasRestartedSince(attempt)) return
        update(attempt.upstream) { record ->
            record.copy(
                attempts = record.attempts.remove(attempt.number),
                health = record.health.after(end, attempt.startedMillis, nowMillis, hasReceivedBytes),
                speed = if (end == AttemptEnd.ANSWERED) speedAfter(attempt, record, nowMillis) else record.speed,
            )
        }
    }

    /** Whether the upstream of [attempt] was listed as started again since the attempt was sent. */
    public fun hasRestartedSince(attempt: Attempt): Boolean =
        records[attempt.upstream]?.let { it.startNumber != attempt.startNumber } ?: false

    /** Returns the speed of [record] after [attempt] was answered there at [nowMillis]. */
    private fun speedAfter(attempt: Attempt, record: UpstreamRecord, nowMillis: Long): UpstreamSpeed {
        val kind = attempt.kind
        if (kind == null || !record.speed.isReported) return record.speed
        val tookMillis = maxOf(0L, nowMillis - attempt.startedMillis).toDouble()
        val averageMillis = workTimes.averageOrNull(kind)
        workTimes.record(kind, tookMillis, record.speed.figureFactor(nowMillis))
        if (averageMillis == null) return record.speed
        return record.speed.withObservedTime(tookMillis, averageMillis, nowMillis)
    }

    /**
     * Records that bytes were received from [upstream] at [nowMillis]; [load] is the load it reported, or null if none.
     * A load that no upstream can have is ignored.
     */
    public fun recordReceived(upstream: UpstreamId, load: ReportedLoad?, nowMillis: Long) {
        update(upstream) { record ->
            val received = record.copy(health = record.health.copy(lastReceivedMillis = nowMillis))
            if (load == null || !load.isPlausible) {
                received
            } else {
                received.copy(
                    report = load,
                    reportMillis = nowMillis,
                    ownAttemptsAtReport = record.attempts.size,
                    speed = load.workPercent?.let { record.speed.withFigure(it, nowMillis) } ?: record.speed,
                )
            }
        }
    }

    /** Records that [upstream] accepted no connection at [nowMillis]: it gets no requests for some time. */
    public fun recordUnreachable(upstream: UpstreamId, nowMillis: Long) {
        update(upstream) { record -> record.copy(health = record.health.afterFailedProbe(nowMillis)) }
    }

    /** Records that [upstream] has asked at [nowMillis] for no requests for the next [durationMillis]. */
    public fun recordRefusal(upstream: UpstreamId, durationMillis: Long, nowMillis: Long) {
        update(upstream) { record ->
            val untilMillis = maxOf(record.health.refusesUntilMillis, nowMillis + durationMillis)
            record.copy(health = record.health.copy(refusesUntilMillis = untilMillis))
        }
    }

    private fun pricing(request: GenerationRequest, decodeEngineCount: Int, nowMillis: Long): GenerationPricing {
        val otherStepsPerMilli =
            directPrefillRate.stepsPerMilli(nowMillis) * (gatewayCount - 1) / maxOf(1, decodeEngineCount)
        return GenerationPricing(
            request,
            dataCentre,
            costs,
            averagePrefillDelay.remainingMillis(nowMillis),
            otherStepsPerMilli,
            nowMillis,
        )
    }

    private fun recordCacheCapacity(engines: List<UpstreamRecord>, request: GenerationRequest) {
        val first = engines.firstOrNull() ?: return
        retentionEstimator.recordCapacity(first.listed, request.engine.kvCapacityTokens, engines.size, gatewayCount)
    }

    private fun prefillTokens(record: UpstreamRecord, prompt: Prompt, isPrefixOwner: Boolean, nowMillis: Long): Int =
        record.prefillTokens(prompt, isPrefixOwner, retentionEstimator.retentionOf(record.listed), nowMillis)

    private fun update(id: UpstreamId, change: (UpstreamRecord) -> UpstreamRecord) {
        val record = records[id] ?: return
        records = records.put(id, change(record))
    }

    private fun usableRecords(service: PoolName, tried: Set<UpstreamId>, nowMillis: Long): List<UpstreamRecord> =
        records.values
            .filter { it.listed.service == service && !it.listed.isLeaving && it.listed.id !in tried }
            .groupBy { it.listed.stage }
            .values
            .flatMap { sameStage -> healthyOrRecovering(sameStage, nowMillis) }

    /**
     * Returns the healthy records. If there are none, returns those that may have recovered, as after a network failure,
     * and those that have broken off answers: an ejection says that others are better, and there are no others.
     */
    private fun healthyOrRecovering(records: List<UpstreamRecord>, nowMillis: Long): List<UpstreamRecord> = records
        .filter { isHealthy(it, nowMillis) }
        .ifEmpty { records.filter { mayHaveRecovered(it, nowMillis) || mayAnswerNext(it, nowMillis) } }

    private fun mayHaveRecovered(record: UpstreamRecord, nowMillis: Long): Boolean =
        record.health.isBaseEjectionOver(nowMillis) && acceptsAttempt(record, nowMillis)

    /** Whether the upstream was reached by its latest failed attempt and is neither silent nor refuses requests. */
    private fun mayAnswerNext(record: UpstreamRecord, nowMillis: Long): Boolean =
        record.health.hasBrokenOff && isOpen(record, nowMillis)

    /** Whether the ejection of the upstream is over and it accepts another attempt. */
    private fun isHealthy(record: UpstreamRecord, nowMillis: Long): Boolean =
        nowMillis >= record.health.ejectedUntilMillis && acceptsAttempt(record, nowMillis)

    /**
     * Whether another attempt may be sent: the upstream is not silent and does not refuse requests for the time being,
     * and if it is suspect, no attempt is in progress.
     */
    private fun acceptsAttempt(record: UpstreamRecord, nowMillis: Long): Boolean {
        val isBeingTried = record.health.isSuspect && record.attempts.isNotEmpty()
        return !isBeingTried && isOpen(record, nowMillis)
    }

    /** Whether the upstream is not silent and does not refuse requests for the time being. */
    private fun isOpen(record: UpstreamRecord, nowMillis: Long): Boolean =
        !isSilent(record, nowMillis) && nowMillis >= record.health.refusesUntilMillis

    /**
     * Whether an attempt has gone unanswered for too long. Never true in the prefill stage, where an engine sends
     * nothing until it has processed the whole prompt, however long other requests wait.
     */
    private fun isSilent(record: UpstreamRecord, nowMillis: Long): Boolean {
        val maxSilenceMillis =
            when (record.listed.stage) {
                null -> MAX_SILENCE_MILLIS
                EngineStage.DECODE -> MAX_DECODE_SILENCE_MILLIS
                EngineStage.PREFILL -> return false
            }
        return record.attempts.values.any { attempt ->
            record.health.lastReceivedMillis < attempt.startedMillis &&
                nowMillis - attempt.startedMillis > maxSilenceMillis
        }
    }

    private fun reasonForNone(service: PoolName): Placement.Reason =
        if (records.values.any { it.listed.service == service && !it.listed.isLeaving }) {
            Placement.Reason.NONE_USABLE
        } else {
            Placement.Reason.NO_UPSTREAM
        }

    /**
     * Returns the time by which a request that normally takes [workMillis] is expected to end later at the upstream
     * than at an idle near one of normal speed, with what failures are expected to add.
     */
    private fun serviceCost(record: UpstreamRecord, workMillis: Double, nowMillis: Long): Double {
        val ahead = record.requestCount(nowMillis).toDouble() / maxOf(1, record.listed.slots)
        val factor = record.speed.factor(nowMillis)
        return ahead * costs.fullUpstreamMillis * factor + workMillis * (factor - 1) +
            record.health.failureRate * costs.failureMillis +
            coldStartMillis(record) +
            if (record.listed.dataCentre == dataCentre) 0.0 else costs.remoteCallMillis
    }

    /**
     * Returns the upstreams among which a plain request is placed: all of [usable], or, if one of them reports how long
     * work takes, two of them. Which ones differs between gateways and from request to request, so that many
     * gateways with old reports do not choose the same upstream. Upstreams that have failed or have just started are
     * not drawn but always compared, as their costs alone show when to use them again.
     */
    private fun candidates(usable: List<UpstreamRecord>): List<UpstreamRecord> {
        if (usable.size <= DRAWN || usable.none { it.speed.isReported }) return usable
        val (sound, others) =
            usable.partition { it.health.failureRate < MAX_DRAWN_FAILURE_RATE && !it.listed.isCold }
        if (sound.size < DRAWN) return usable
        val draw = RendezvousHashing.weight(seed, nextDrawNumber++)
        val first = Math.floorMod(draw, sound.size)
        val distance = 1 + Math.floorMod(draw / sound.size, sound.size - 1)
        return others + sound[first] + sound[(first + distance) % sound.size]
    }

    private fun coldStartMillis(record: UpstreamRecord): Double =
        if (record.listed.isCold) costs.coldStartMillis else 0.0

    private fun withTieBreak(cost: GenerationPricing.EngineCost): GenerationPricing.EngineCost =
        cost.copy(price = cost.price + tieBreakPrice() / 2)

    private fun tieBreakPrice(): Double = random.nextDouble() * TIE_BREAK_PRICE

    private fun cheapest(records: List<UpstreamRecord>, cost: (UpstreamRecord) -> Double): UpstreamRecord =
        records.minBy { cost(it) + random.nextDouble() * TIE_BREAK_MILLIS }

    /**
     * Returns the engine that keeps the shared prefix of [prompt], or null if the prompt shares none. Rendezvous
     * hashing makes all gateways choose the same engine of a stage without communicating.
     */
    private fun prefixOwnerOrNull(engines: List<UpstreamRecord>, prompt: Prompt): UpstreamId? {
        val key = prompt.sharedPrefixKey ?: return null
        return engines
            .maxByOrNull { RendezvousHashing.weight(key, RendezvousHashing.hash(it.listed.id.text)) }
            ?.listed
            ?.id
    }

    private companion object {
        /**
         * Upper bound of a random addition to each cost, so that gateways do not all choose the same upstream among
         * near equals.
         */
        const val TIE_BREAK_MILLIS = 2.0

        /** The number of upstreams that are drawn and compared for a plain request. */
        const val DRAWN = 2

        /** An upstream is drawn after one failure among its last ten attempts, and not after two. */
        const val MAX_DRAWN_FAILURE_RATE = 0.15

        /** Shorter prefixes are computed in about the time that a copy needs to begin. */
        const val MIN_COPIED_TOKENS = 512

        /**
         * Upper bound of a random addition to each price, so that gateways do not all choose the same engines among
         * near equals.
         */
        const val TIE_BREAK_PRICE = 0.005

        /**
         * Largest part of the remaining time that may pass before the first event; the rest of the answer takes time
         * too.
         */
        const val MAX_FIRST_EVENT_FRACTION = 0.8

        /** An upstream that sends nothing for this long after a request gets no other request. */
        const val MAX_SILENCE_MILLIS = 600L

        /**
         * As [MAX_SILENCE_MILLIS], for an engine in the decode stage: longer, since it receives KV caches one after the
         * other.
         */
        const val MAX_DECODE_SILENCE_MILLIS = 1_500L
    }
}
