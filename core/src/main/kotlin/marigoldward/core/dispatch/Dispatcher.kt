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
 * What one entry knows of the upstreams, and where it sends requests.
 *
 * Without clock, thread or network of its own; used by one thread. [seed] fixes its random choices.
 */
public class Dispatcher(private val dataCentre: DataCentre, private val costs: PlacementCosts, seed: Long) {
    private val random = Random(seed)
    private var records: PersistentMap<UpstreamId, UpstreamRecord> = persistentMapOf()
    private var nextNumber = 1L
    private var usualDelay = ReadDelay.NONE
    private var directReads = DirectReads.NONE
    private val turnover = CacheTurnover()

    /** How many entries send to the same upstreams, this one included. */
    public var entries: Int = UNKNOWN_ENTRIES

    /** Returns what is known of [id], or null if it is not listed. */
    public fun recordOrNull(id: UpstreamId): UpstreamRecord? = records[id]

    /** Returns how many engines of [service] read prompts for others. */
    public fun readers(service: PoolName): Int = records.values.count { record ->
        record.listed.service == service && record.listed.stage == EngineStage.PREFILL && !record.listed.isLeaving
    }

    /** Takes over the directory's list; what is known of upstreams that stay listed is kept. */
    public fun list(upstreams: List<ListedUpstream>) {
        val fresh = upstreams.associate { listed ->
            val known = records[listed.id]?.takeIf { it.listed.address == listed.address }
            listed.id to (known?.copy(listed = listed) ?: UpstreamRecord.fromListed(listed))
        }
        val leaving = records.filter { (id, record) -> id !in fresh && record.attempts.isNotEmpty() }
        val gone = leaving.mapValues { (_, record) -> record.copy(listed = record.listed.copy(isLeaving = true)) }
        records = (fresh + gone).toPersistentMap()
    }

    /** Returns where a request to the plain service [service] goes, other than to [tried]. */
    public fun place(service: PoolName, tried: Set<UpstreamId>, nowMillis: Long): Placement {
        val usable = usable(service, tried, nowMillis)
        if (usable.isEmpty()) return Placement.None(reason(service))
        val chosen = least(usable) { plainCost(it, nowMillis) }
        return Placement.Whole(chosen.listed, 0)
    }

    /** Returns where the generation [request] goes, other than to [tried]. */
    public fun place(request: GenerationRequest, tried: Set<UpstreamId>, nowMillis: Long): Placement {
        val prompt = request.prompt
        val usable = usable(request.service, tried, nowMillis)
        val decoders = usable.filter { it.listed.stage != EngineStage.PREFILL }
        if (decoders.isEmpty()) return Placement.None(reason(request.service))
        val readers = usable.filter { it.listed.stage == EngineStage.PREFILL }
        noteCacheSize(decoders, request)
        noteCacheSize(readers, request)
        val view = view(request, decoders.size, nowMillis)
        val direct = decoders.map { view.whole(it, tokensToRead(it, prompt, isHome = false, nowMillis)) }
        val home = homeOrNull(readers, prompt)
        val decodeHome = homeOrNull(decoders, prompt)
        val generating = decoders.map { view.generating(it, isHome = it.listed.id == decodeHome) }
        val split = readers.flatMap { reader ->
            val tokens = tokensToRead(reader, prompt, reader.listed.id == home, nowMillis)
            val reading = view.reading(reader, tokens)
            generating.map { view.split(reading, it) }
        }
        val best = (direct + split).minBy { it.price + random.nextDouble() * NEAR_PRICE }
        val isTooLate = best.expectedMillis > request.leftMillis * HOPE_PART
        if (isTooLate) return Placement.None(Placement.Reason.TOO_LATE)
        return withCopy(best.placement, prompt, listOfNotNull(home, decodeHome))
    }

    /**
     * Lets the engine that reads copy from the first of [keepers] that is another, if the shared part is long.
     *
     * Copying takes a twentieth of the time of reading and costs nothing if there is nothing to copy. Where a prompt
     * goes does not depend on it: the copies would drive out what others keep.
     */
    private fun withCopy(placement: Placement, prompt: Prompt, keepers: List<UpstreamId>): Placement {
        if (prompt.sharedTokens < LEAST_COPIED_TOKENS) return placement
        fun keeperFor(reader: ListedUpstream): ListedUpstream? =
            keepers.firstOrNull { it != reader.id }?.let { records[it]?.listed }
        return when (placement) {
            is Placement.None -> placement
            is Placement.Split -> placement.copy(copyFrom = keeperFor(placement.prefill))
            is Placement.Whole -> placement.copy(copyFrom = keeperFor(placement.upstream))
        }
    }

    /** Returns the engine that takes over the KV cache that [reader] has read for [request], or null for none. */
    public fun decoderOrNull(
        request: GenerationRequest,
        reader: ListedUpstream,
        tried: Set<UpstreamId>,
        nowMillis: Long,
    ): ListedUpstream? {
        val record = records[reader.id] ?: UpstreamRecord.fromListed(reader)
        val decoders = usable(request.service, tried, nowMillis).filter { it.listed.stage != EngineStage.PREFILL }
        val view = view(request, decoders.size, nowMillis)
        val reading = view.reading(record, Attempt.TAKE_OVER_TOKENS)
        val home = homeOrNull(decoders, request.prompt)
        return decoders
            .minByOrNull { view.split(reading, view.generating(it, it.listed.id == home)).price }
            ?.listed
    }

    /** Notes that a request is sent to [upstream] at [nowMillis] and has [tokensToRead] prompt tokens to read there. */
    public fun started(upstream: UpstreamId, prompt: Prompt?, tokensToRead: Int, nowMillis: Long): Attempt {
        val attempt = Attempt(nextNumber++, upstream, tokensToRead, isReading = tokensToRead > 0, nowMillis)
        update(upstream) { record ->
            val counted = record.copy(attempts = record.attempts.put(attempt.number, attempt))
            if (prompt == null) counted else withPrompt(counted, prompt, attempt)
        }
        return attempt
    }

    private fun withPrompt(record: UpstreamRecord, prompt: Prompt, attempt: Attempt): UpstreamRecord {
        val nowMillis = attempt.startedMillis
        val newTokens = tokensToRead(record, prompt, isHome = false, nowMillis)
        turnover.took(record.listed, newTokens)
        if (record.listed.stage == EngineStage.DECODE && !attempt.isTakeOver) {
            directReads = directReads.plus(GenerationView.steps(attempt.tokensToRead), nowMillis)
        }
        return record.withPrefixes(prompt, turnover.spanOf(record.listed), nowMillis)
    }

    /** Notes at [nowMillis] that the prompt of [attempt] has been read. */
    public fun promptRead(attempt: Attempt, nowMillis: Long) {
        update(attempt.upstream) { record ->
            val current = record.attempts[attempt.number]
            if (current == null || !current.isReading) return@update record
            val factor = if (record.listed.stage == EngineStage.PREFILL) 1.0 else costs.ownReadFactor
            val expectedMillis = factor * costs.readMillis(current.tokensToRead)
            val delayMillis = maxOf(0.0, nowMillis - current.startedMillis - expectedMillis)
            if (record.listed.stage == EngineStage.PREFILL) usualDelay = usualDelay.averaged(delayMillis, nowMillis)
            record.copy(
                attempts = record.attempts.put(attempt.number, current.copy(isReading = false)),
                readDelay = ReadDelay(delayMillis, nowMillis),
            )
        }
    }

    /** Notes how [attempt] ended. */
    public fun ended(attempt: Attempt, end: AttemptEnd, nowMillis: Long) {
        update(attempt.upstream) { record ->
            record.copy(
                attempts = record.attempts.remove(attempt.number),
                health = record.health.after(end, attempt.startedMillis, nowMillis),
            )
        }
    }

    /** Notes that bytes came from [upstream], with [load] if they told it. */
    public fun heard(upstream: UpstreamId, load: ReportedLoad?, nowMillis: Long) {
        update(upstream) { record ->
            val heard = record.copy(health = record.health.copy(heardMillis = nowMillis))
            if (load == null) {
                heard
            } else {
                heard.copy(report = load, reportMillis = nowMillis, ownAtReport = record.attempts.size)
            }
        }
    }

    private fun view(request: GenerationRequest, decoders: Int, nowMillis: Long): GenerationView {
        val othersSteps = directReads.perMilli(nowMillis) * (entries - 1) / maxOf(1, decoders)
        return GenerationView(
            request,
            dataCentre,
            costs,
            usualDelay.leftMillis(nowMillis),
            othersSteps,
            nowMillis,
        )
    }

    private fun noteCacheSize(engines: List<UpstreamRecord>, request: GenerationRequest) {
        val first = engines.firstOrNull() ?: return
        turnover.sized(first.listed, request.engine.kvCapacityTokens, engines.size, entries)
    }

    private fun tokensToRead(record: UpstreamRecord, prompt: Prompt, isHome: Boolean, nowMillis: Long): Int =
        record.tokensToRead(prompt, isHome, turnover.spanOf(record.listed), nowMillis)

    private fun update(id: UpstreamId, change: (UpstreamRecord) -> UpstreamRecord) {
        val record = records[id] ?: return
        records = records.put(id, change(record))
    }

    private fun usable(service: PoolName, tried: Set<UpstreamId>, nowMillis: Long): List<UpstreamRecord> =
        records.values
            .filter { it.listed.service == service && !it.listed.isLeaving && it.listed.id !in tried }
            .groupBy { it.listed.stage }
            .values
            .flatMap { sameStage -> healthiest(sameStage, nowMillis) }

    /** Returns the healthy ones; if all have failed, as after a cut, those that may be back by now. */
    private fun healthiest(records: List<UpstreamRecord>, nowMillis: Long): List<UpstreamRecord> = records
        .filter { isHealthy(it, nowMillis) }
        .ifEmpty { records.filter { it.health.isWorthTrying(nowMillis) && isOpen(it, nowMillis) } }

    /** After an ejection one attempt at a time tries the upstream; one that does not answer at all gets none. */
    private fun isHealthy(record: UpstreamRecord, nowMillis: Long): Boolean =
        nowMillis >= record.health.ejectedUntilMillis && isOpen(record, nowMillis)

    /** Whether no attempt there is still to show whether it lives. */
    private fun isOpen(record: UpstreamRecord, nowMillis: Long): Boolean {
        val isTried = record.health.isInDoubt && record.attempts.isNotEmpty()
        return !isTried && !isSilent(record, nowMillis)
    }

    /** An engine that reads prompts says nothing until it has read one, however long others wait. */
    private fun isSilent(record: UpstreamRecord, nowMillis: Long): Boolean {
        val longestMillis =
            when (record.listed.stage) {
                null -> SILENCE_MILLIS
                EngineStage.DECODE -> ENGINE_SILENCE_MILLIS
                EngineStage.PREFILL -> return false
            }
        return record.attempts.values.any { attempt ->
            record.health.heardMillis < attempt.startedMillis && nowMillis - attempt.startedMillis > longestMillis
        }
    }

    private fun reason(service: PoolName): Placement.Reason =
        if (records.values.any { it.listed.service == service && !it.listed.isLeaving }) {
            Placement.Reason.NONE_USABLE
        } else {
            Placement.Reason.NO_UPSTREAM
        }

    private fun plainCost(record: UpstreamRecord, nowMillis: Long): Double {
        val ahead = record.requests(nowMillis).toDouble() / maxOf(1, record.listed.slots)
        return ahead * costs.fullServiceMillis +
            record.health.failureRate * costs.failureMillis +
            coldMillis(record) +
            if (record.listed.dataCentre == dataCentre) 0.0 else costs.remoteCallMillis
    }

    private fun coldMillis(record: UpstreamRecord): Double = if (record.listed.isCold) costs.coldMillis else 0.0

    private fun least(records: List<UpstreamRecord>, cost: (UpstreamRecord) -> Double): UpstreamRecord =
        records.minBy { cost(it) + random.nextDouble() * NEAR_MILLIS }

    /** Entries agree without talking on the engine of a stage that keeps a prefix. */
    private fun homeOrNull(engines: List<UpstreamRecord>, prompt: Prompt): UpstreamId? {
        val key = prompt.sharedKey ?: return null
        return engines
            .maxByOrNull { RendezvousHashing.weight(key, RendezvousHashing.hash(it.listed.id.text)) }
            ?.listed
            ?.id
    }

    private companion object {
        /** The number of entries until a control instance has told it; on the large side, so that little is spent. */
        const val UNKNOWN_ENTRIES = 32

        /** Costs that differ by less are equal, so that entries don't all choose the same, in milliseconds. */
        const val NEAR_MILLIS = 2.0

        /** Shared parts of fewer tokens are read about as fast as a copy begins. */
        const val LEAST_COPIED_TOKENS = 512

        /** Prices that differ by less are taken as equal. */
        const val NEAR_PRICE = 0.005

        /** The part of the time left after which a first event does not help: the rest takes time too. */
        const val HOPE_PART = 0.8

        /** An upstream that has sent nothing for this long after a request gets no other, in milliseconds. */
        const val SILENCE_MILLIS = 600L

        /** The same for an engine that generates, where caches come one after the other, in milliseconds. */
        const val ENGINE_SILENCE_MILLIS = 1_500L
    }
}
