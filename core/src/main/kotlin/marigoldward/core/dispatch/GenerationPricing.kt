package marigoldward.core.dispatch

import marigoldward.core.model.DataCentre

/** Computes the price and the expected time of each placement of one generation request. */
internal class GenerationPricing(
    private val request: GenerationRequest,
    private val dataCentre: DataCentre,
    private val costs: PlacementCosts,
    private val averagePrefillDelayMillis: Double,
    private val otherStepsPerMilli: Double,
    private val nowMillis: Long,
) {
    private val prompt = request.prompt
    private val cacheGigabytes =
        maxOf(0, prompt.promptTokens).toDouble() * request.engine.kvBytesPerToken / BYTES_PER_GIGABYTE
    private val cacheTransferMillis =
        cacheGigabytes * BYTES_PER_GIGABYTE /
            (maxOf(1.0, request.engine.linkMegabitsPerSecond) * BYTES_PER_MILLI_AT_MEGABIT_RATE)

    /** A possible placement with its price and the expected time to its first event. */
    data class Candidate(val placement: Placement, val price: Double, val expectedMillis: Double)

    /**
     * Returns the candidate in which [decodeEngine] processes [tokens] prompt tokens itself, between the tokens of its
     * streams.
     */
    fun single(decodeEngine: UpstreamRecord, tokens: Int): Candidate {
        val prefillMillis = costs.decodeStagePrefillFactor * costs.prefillMillis(tokens, prompt.promptTokens) *
            decodeEngine.speed.factor(nowMillis)
        val expectedMillis = prefillMillis + firstEventMillis(decodeEngine)
        val price =
            latenessPrice(expectedMillis) + disturbancePrice(decodeEngine, tokens) + repeatedPrefillPrice(tokens) +
                reliabilityPrice(decodeEngine) + networkPrice(decodeEngine)
        return Candidate(Placement.Single(decodeEngine.listed, tokens), price, expectedMillis)
    }

    /** The time and the price that one engine adds to a split placement, whichever engine it is paired with. */
    data class EngineCost(val record: UpstreamRecord, val tokens: Int, val millis: Double, val price: Double)

    /**
     * Returns the share of [engine] in the cost of a split placement if it processes [tokens] prompt tokens for another
     * engine.
     */
    fun prefillCost(engine: UpstreamRecord, tokens: Int): EngineCost {
        val waitMillis = engine.prefillWaitMillis(costs, averagePrefillDelayMillis, nowMillis)
        val prefillMillis = costs.prefillMillis(tokens, prompt.promptTokens) * engine.speed.factor(nowMillis)
        val price = repeatedPrefillPrice(tokens) + reliabilityPrice(engine) + networkPrice(engine)
        return EngineCost(engine, tokens, waitMillis + prefillMillis, price)
    }

    /**
     * Returns the share of [engine] in the cost of a split placement if it receives the KV cache and decodes. A prefix
     * owner gets a bonus, because it then holds the shared prefix for other engines to copy.
     */
    fun decodeCost(engine: UpstreamRecord, isPrefixOwner: Boolean): EngineCost {
        val price =
            reliabilityPrice(engine) + networkPrice(engine) - if (isPrefixOwner) costs.prefixOwnerBonus else 0.0
        return EngineCost(engine, Attempt.CACHE_TRANSFER_PREFILL_TOKENS, firstEventMillis(engine), price)
    }

    /**
     * Returns the candidate in which the engine of [prefill] processes the prompt and the engine of [decode] decodes.
     */
    fun split(prefill: EngineCost, decode: EngineCost): Candidate {
        val prefillEngine = prefill.record.listed
        val decodeEngine = decode.record.listed
        val factor = if (prefillEngine.dataCentre == decodeEngine.dataCentre) 1.0 else costs.remoteCacheFactor
        val expectedMillis = prefill.millis + costs.splitCallMillis + cacheTransferMillis * factor + decode.millis
        val cachePrice = cacheGigabytes * costs.cacheGigabytePrice * factor
        val price = latenessPrice(expectedMillis) + cachePrice + prefill.price + decode.price
        return Candidate(Placement.Split(prefillEngine, decodeEngine, prefill.tokens), price, expectedMillis)
    }

    /**
     * Returns the cheapest candidate of all pairs of an engine of [prefillCosts] and one of [decodeCosts], or null if
     * there is none.
     *
     * An engine that takes no less time and costs no less than another one in its data centre is in no cheaper pair, so
     * only few pairs are priced on a large site.
     */
    fun bestSplitOrNull(prefillCosts: List<EngineCost>, decodeCosts: List<EngineCost>): Candidate? {
        val decodeEngines = undominated(decodeCosts)
        return undominated(prefillCosts)
            .flatMap { prefill -> decodeEngines.map { split(prefill, it) } }
            .minByOrNull { it.price }
    }

    private fun undominated(costs: List<EngineCost>): List<EngineCost> =
        costs.groupBy { it.record.listed.dataCentre }.values.flatMap { inDataCentre ->
            var lowestPrice = Double.POSITIVE_INFINITY
            inDataCentre
                .sortedWith(compareBy({ it.millis }, { it.price }))
                .filter { cost -> (cost.price < lowestPrice).also { if (it) lowestPrice = cost.price } }
        }

    private fun latenessPrice(expectedMillis: Double): Double =
        costs.latenessPrice(expectedMillis, request.targetMillis, request.remainingMillis)

    /**
     * Returns the expected time to the first event, apart from the prefill of this request. An engine receives KV
     * caches one after the other, so those on their way to it are waited for.
     */
    private fun firstEventMillis(decodeEngine: UpstreamRecord): Double = (
        costs.firstTokenMillis +
            costs.streamDelayMillis * decodeEngine.requestCount(nowMillis)
        ) * decodeEngine.speed.factor(nowMillis) +
        cacheTransferMillis * (decodeEngine.ownPendingCacheTransfers + decodeEngine.otherWaitingRequests(nowMillis)) +
        decodeEngine.prefillWaitMillis(costs, 0.0, nowMillis)

    /**
     * Returns the price of the pauses that a prompt causes in the streams of an engine in the decode stage.
     *
     * Between two tokens of all its streams, such an engine processes one step of a prompt. The prompts that are
     * processed during one event therefore add up to one pause of every stream.
     */
    private fun disturbancePrice(decodeEngine: UpstreamRecord, tokens: Int): Double {
        val ownSteps =
            decodeEngine.attempts.values.sumOf {
                if (it.isPrefillPending) prefillSteps(it.prefillTokens).toLong() else 0L
            }
        val eventMillis = request.engine.tokensPerEvent * costs.decodeStepMillis
        val steps =
            minOf(request.engine.tokensPerEvent.toLong(), ownSteps + prefillSteps(tokens)) +
                otherStepsPerMilli * eventMillis
        val normalPauseMillis =
            eventMillis + steps * costs.decodeStagePrefillFactor * costs.prefillMillis(TOKENS_PER_STEP)
        val pauseMillis = normalPauseMillis * decodeEngine.speed.factor(nowMillis)
        val streams = maxOf(decodeEngine.requestCount(nowMillis), MIN_ASSUMED_STREAMS)
        return costs.disturbancePrice + streams * costs.pausePrice(pauseMillis, request.maxPauseMillis)
    }

    /** Returns the price of the shared tokens that are processed although some engine probably has them cached. */
    private fun repeatedPrefillPrice(tokens: Int): Double {
        val ownTokens = prompt.promptTokens - prompt.sharedPrefixTokens
        return maxOf(0L, tokens - ownTokens) * costs.repeatedPrefillPrice / TOKENS_PER_PRICE_UNIT
    }

    private fun reliabilityPrice(record: UpstreamRecord): Double = record.health.failureRate * costs.failurePrice +
        if (record.listed.isCold) latenessPrice(costs.coldStartMillis) else 0.0

    private fun networkPrice(record: UpstreamRecord): Double = if (record.listed.dataCentre == dataCentre) {
        0.0
    } else {
        costs.remoteMegabytePrice * request.bodyBytes / BYTES_PER_MEGABYTE
    }

    companion object {
        /** Returns the number of steps in which an engine in the decode stage processes [tokens] prompt tokens. */
        fun prefillSteps(tokens: Int): Int = if (tokens <= 0) 0 else (tokens - 1) / TOKENS_PER_STEP + 1

        private const val TOKENS_PER_PRICE_UNIT = 1_000.0
        private const val BYTES_PER_GIGABYTE = 1e9
        private const val BYTES_PER_MEGABYTE = 1e6
        private const val BYTES_PER_MILLI_AT_MEGABIT_RATE = 125.0

        /** The prompt tokens that an engine in the decode stage processes in one step. */
        private const val TOKENS_PER_STEP = 1_024

        /**
         * The number of streams that is assumed at least for an engine in the decode stage, since other gateways send
         * there too.
         */
        private const val MIN_ASSUMED_STREAMS = 4
    }
}
