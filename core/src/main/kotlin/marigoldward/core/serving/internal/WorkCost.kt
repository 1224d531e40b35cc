package marigoldward.core.serving.internal

import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.UpstreamKind
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.PrefixPieces
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.UpstreamState
import marigoldward.core.serving.UpstreamTime

/** Estimates the upstream time that requests need. */
internal object WorkCost {
    private const val MILLIS_PER_SECOND = 1_000.0
    private const val SERVICE_REQUEST_MILLIS = 10.0

    /** Returns the time to prefill [tokens] prompt tokens, in milliseconds; 0 if the pool declares no prefill rate. */
    fun prefillMillis(pool: UpstreamPool, tokens: Long): Double =
        if (pool.prefillTokensPerSecond == 0L) 0.0 else tokens * MILLIS_PER_SECOND / pool.prefillTokensPerSecond

    /** Returns how many tokens of [work] are probably not cached by [upstream] and have to be prefilled, at least 1. */
    fun uncachedTokens(upstream: UpstreamState, work: PendingWork): Long {
        val cachedPieceCount = work.spec.pieceHashes.takeWhile { it in upstream.cachedPieceHashes }.size
        val tokens = work.spec.promptTokens + work.deliveredTokens
        return maxOf(1, tokens - cachedPieceCount * PrefixPieces.TOKENS_PER_PIECE)
    }

    /** Returns the time that [spec] takes of one upstream, where the decode rate is that of a full batch. */
    fun upstreamTime(pool: UpstreamPool, spec: RequestSpec): UpstreamTime {
        if (pool.kind == UpstreamKind.SERVICE) return UpstreamTime(0.0, SERVICE_REQUEST_MILLIS / pool.slots)
        val decodeMillis = spec.outputTokens * MILLIS_PER_SECOND / pool.decodeTokensPerSecond
        return UpstreamTime(prefillMillis(pool, spec.promptTokens), decodeMillis)
    }
}
