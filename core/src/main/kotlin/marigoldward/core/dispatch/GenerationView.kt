package marigoldward.core.dispatch

import marigoldward.core.model.DataCentre
import marigoldward.core.routes.EngineDeclaration

/** What each way to serve one generation costs. */
internal class GenerationView(
    private val engine: EngineDeclaration,
    private val prompt: Prompt,
    private val dataCentre: DataCentre,
    private val costs: PlacementCosts,
    private val nowMillis: Long,
) {
    /** One way and its cost. */
    data class Priced(val placement: Placement, val costMillis: Double)

    /** One engine that generates reads the prompt itself, between the tokens of its other streams. */
    fun whole(decoder: UpstreamRecord, isHome: Boolean): Priced {
        val tokens = decoder.tokensToRead(prompt, isHome, nowMillis)
        val ahead = waitingTokens(decoder)
        val readMillis = costs.ownReadFactor * costs.readMillis(tokens + ahead)
        val disturbed = decoder.requests(nowMillis) * costs.disturbMillisPerStream * tokens / TOKENS_PER_UNIT
        val costMillis = readMillis + disturbed + common(decoder)
        return Priced(Placement.Whole(decoder.listed, tokens), costMillis)
    }

    /** [reader] reads [tokens] tokens and [decoder] takes the KV cache over. */
    fun split(reader: UpstreamRecord, decoder: UpstreamRecord, tokens: Int): Priced {
        val isRemoteCache = reader.listed.dataCentre != decoder.listed.dataCentre
        val cacheBytes = prompt.promptTokens.toDouble() * engine.kvBytesPerToken
        val moveMillis = cacheBytes / linkBytesPerMilli() * if (isRemoteCache) 2 else 1
        val remoteMillis = if (isRemoteCache) costs.remoteCacheMillis * prompt.promptTokens / TOKENS_PER_UNIT else 0.0
        val costMillis =
            costs.readMillis(tokens + waitingTokens(reader)) + costs.splitMillis + moveMillis + remoteMillis +
                failures(reader) + costs.callMillis(reader.listed.dataCentre != dataCentre) + common(decoder)
        return Priced(Placement.Split(reader.listed, decoder.listed, tokens), costMillis)
    }

    private fun common(decoder: UpstreamRecord): Double = costs.streamMillis * decoder.requests(nowMillis) +
        failures(decoder) +
        costs.callMillis(decoder.listed.dataCentre != dataCentre)

    private fun failures(record: UpstreamRecord): Double = record.health.failureRate * costs.failureMillis +
        if (record.listed.isCold) costs.coldMillis else 0.0

    /** Others' requests at an engine that only reads are prompts of about the same size. */
    private fun waitingTokens(record: UpstreamRecord): Int {
        if (record.listed.stage != EngineStage.PREFILL) return record.ownReadingTokens
        return record.ownReadingTokens + record.othersRequests(nowMillis) * OTHERS_TOKENS
    }

    private fun linkBytesPerMilli(): Double = maxOf(1.0, engine.linkMegabitsPerSecond) * BYTES_PER_MEGABIT_MILLI

    private companion object {
        const val TOKENS_PER_UNIT = 1_000.0
        const val BYTES_PER_MEGABIT_MILLI = 125.0

        /** The tokens that a prompt of another entry has left to read on average. */
        const val OTHERS_TOKENS = 2_000
    }
}
