package marigoldward.core.dispatch

import marigoldward.core.model.DataCentre

/** What each way to serve one generation costs. */
internal class GenerationView(
    private val request: GenerationRequest,
    private val dataCentre: DataCentre,
    private val costs: PlacementCosts,
    private val usualWaitMillis: Double,
    private val othersStepsPerMilli: Double,
    private val nowMillis: Long,
) {
    private val prompt = request.prompt
    private val cacheGigabytes = prompt.promptTokens.toDouble() * request.engine.kvBytesPerToken / BYTES_PER_GIGABYTE
    private val moveMillis =
        cacheGigabytes * BYTES_PER_GIGABYTE /
            (maxOf(1.0, request.engine.linkMegabitsPerSecond) * BYTES_PER_MEGABIT_MILLI)

    /** One way, its price, and when its first event is expected. */
    data class Priced(val placement: Placement, val price: Double, val expectedMillis: Double)

    /** One engine that generates reads [tokens] tokens itself, between the tokens of its other streams. */
    fun whole(decoder: UpstreamRecord, tokens: Int): Priced {
        val readMillis = costs.ownReadFactor * costs.readMillis(tokens, prompt.promptTokens)
        val expectedMillis = readMillis + decodeMillis(decoder)
        val price =
            lateness(expectedMillis) + disturbance(decoder, tokens) + readAgain(tokens) + reliability(decoder) +
                way(decoder)
        return Priced(Placement.Whole(decoder.listed, tokens), price, expectedMillis)
    }

    /** An engine that would read or generate: what it adds to the time and the price, whatever its partner is. */
    class Side(val record: UpstreamRecord, val tokens: Int, val millis: Double, val price: Double)

    /** [reader] would read [tokens] tokens. */
    fun reading(reader: UpstreamRecord, tokens: Int): Side {
        val waitMillis = reader.readWaitMillis(costs, usualWaitMillis, nowMillis)
        val readMillis = costs.readMillis(tokens, prompt.promptTokens)
        return Side(reader, tokens, waitMillis + readMillis, readAgain(tokens) + reliability(reader) + way(reader))
    }

    /** [decoder] would take a KV cache over; where it [isHome], it keeps the shared part for others to copy. */
    fun generating(decoder: UpstreamRecord, isHome: Boolean): Side {
        val price = reliability(decoder) + way(decoder) - if (isHome) costs.homePrice else 0.0
        return Side(decoder, Attempt.TAKE_OVER_TOKENS, decodeMillis(decoder), price)
    }

    /** The two share the request. */
    fun split(reading: Side, generating: Side): Priced {
        val reader = reading.record.listed
        val decoder = generating.record.listed
        val factor = if (reader.dataCentre == decoder.dataCentre) 1.0 else costs.remoteCacheFactor
        val expectedMillis = reading.millis + costs.splitMillis + moveMillis * factor + generating.millis
        val cachePrice = cacheGigabytes * costs.cacheGigabytePrice * factor
        val price = lateness(expectedMillis) + cachePrice + reading.price + generating.price
        return Priced(Placement.Split(reader, decoder, reading.tokens), price, expectedMillis)
    }

    private fun lateness(expectedMillis: Double): Double =
        costs.latenessPrice(expectedMillis, request.targetMillis, request.leftMillis)

    /** Caches come to an engine one after the other, so those on their way there are waited for. */
    private fun decodeMillis(decoder: UpstreamRecord): Double = costs.firstTokenMillis +
        costs.streamMillis * decoder.requests(nowMillis) +
        moveMillis * (decoder.ownTakeOvers + decoder.othersWaiting(nowMillis)) +
        decoder.readWaitMillis(costs, 0.0, nowMillis)

    /**
     * An engine that generates takes one step of a prompt between two tokens of all its streams, so the prompts that it
     * reads while an event is made add up to one pause of each stream.
     */
    private fun disturbance(decoder: UpstreamRecord, tokens: Int): Double {
        val own = decoder.attempts.values.sumOf { if (it.isReadingPrompt) steps(it.tokensToRead) else 0 }
        val eventMillis = request.engine.tokensPerEvent * costs.stepMillis
        val steps = minOf(request.engine.tokensPerEvent, own + steps(tokens)) + othersStepsPerMilli * eventMillis
        val pauseMillis = eventMillis + steps * costs.ownReadFactor * costs.readMillis(TOKENS_PER_STEP)
        val streams = maxOf(decoder.requests(nowMillis), USUAL_STREAMS)
        return costs.disturbPrice + streams * costs.pausePrice(pauseMillis, request.gapMillis)
    }

    /** The shared tokens that are read although some engine probably keeps them. */
    private fun readAgain(tokens: Int): Double {
        val ownTokens = prompt.promptTokens - prompt.sharedTokens
        return maxOf(0, tokens - ownTokens) * costs.readAgainPrice / TOKENS_PER_UNIT
    }

    private fun reliability(record: UpstreamRecord): Double = record.health.failureRate * costs.failurePrice +
        if (record.listed.isCold) lateness(costs.coldMillis) else 0.0

    private fun way(record: UpstreamRecord): Double = if (record.listed.dataCentre ==
        dataCentre
    ) {
        0.0
    } else {
        costs.remoteMegabytePrice * request.bodyBytes / BYTES_PER_MEGABYTE
    }

    companion object {
        /** Returns in how many steps an engine that generates reads [tokens] tokens. */
        fun steps(tokens: Int): Int = (tokens + TOKENS_PER_STEP - 1) / TOKENS_PER_STEP

        private const val TOKENS_PER_UNIT = 1_000.0
        private const val BYTES_PER_GIGABYTE = 1e9
        private const val BYTES_PER_MEGABYTE = 1e6
        private const val BYTES_PER_MEGABIT_MILLI = 125.0

        /** The prompt tokens that an engine which generates reads in one step. */
        private const val TOKENS_PER_STEP = 1_024

        /** The streams that an engine which generates is taken to have at least: other entries send there too. */
        private const val USUAL_STREAMS = 4
    }
}
