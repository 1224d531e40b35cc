package marigoldward.bench.policy

import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.EngineRole
import marigoldward.core.serving.LoadReport
import marigoldward.core.serving.PrefixPieces
import marigoldward.core.serving.UpstreamInfo

/**
 * The cost model of one engine.
 *
 * It prefills one prompt at a time, in the order of rank and arrival. Streams share decode steps, whose duration grows
 * with their number. A role change waits until nothing runs; then the engine is unavailable for a time and its prefix
 * cache is lost.
 *
 * @property isOrderedByRank whether waiting prompts and streams are ordered by the rank of their class before arrival
 */
internal class SimulatedEngine(
    val info: UpstreamInfo,
    private val pool: UpstreamPool,
    var role: EngineRole,
    private val clock: VirtualClock,
    private val isOrderedByRank: Boolean,
) {
    private class Prompt(val request: SimulatedRequest, val uncachedTokens: Long, val onPrefilled: () -> Unit)

    private class Stream(val request: SimulatedRequest, var remainingTokens: Double, val onEnd: () -> Unit)

    private var waitingPrompts = emptyList<Prompt>()
    private var prefillingPrompt: Prompt? = null
    private var streams = emptyList<Stream>()
    private var waitingStreams = emptyList<Stream>()
    private var advancedMillis = 0.0
    private var streamEndNumber = 0L
    private var nextRole: EngineRole? = null
    private var isRestarting = false
    private val prefixCache = object : LinkedHashMap<Long, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean =
            size * PrefixPieces.TOKENS_PER_PIECE > pool.kvCapacityTokens
    }

    val isAccepting: Boolean get() = nextRole == null && !isRestarting

    val isStable: Boolean get() = isAccepting

    /** The role that the engine is changing to, otherwise its current role. */
    val targetRole: EngineRole get() = nextRole ?: role

    /** The number of requests that wait or run on this engine. */
    val openRequests: Int get() = streams.size + waitingStreams.size + waitingPrompts.size +
        if (prefillingPrompt == null) 0 else 1

    /** Returns the current load. */
    fun report(): LoadReport {
        val prompts = waitingPrompts + listOfNotNull(prefillingPrompt)
        val decoding = streams + waitingStreams
        return LoadReport(
            role = role,
            streams = openRequests,
            prefillTokens = prompts.sumOf { it.uncachedTokens },
            kvTokens = prompts.sumOf { it.request.spec.kvTokens } + decoding.sumOf { it.request.spec.kvTokens },
            isAccepting = isAccepting,
            incarnation = "1",
        )
    }

    /** Prefills the prompt of [request] except its cached prefix, then calls [onPrefilled]. */
    fun prefill(request: SimulatedRequest, onPrefilled: () -> Unit) {
        val cachedPieces = request.spec.pieceHashes.takeWhile { it in prefixCache }.size
        request.spec.pieceHashes.forEach { prefixCache[it] = Unit }
        val uncachedTokens = maxOf(1, request.spec.promptTokens - cachedPieces * PrefixPieces.TOKENS_PER_PIECE)
        val prompt = Prompt(request, uncachedTokens, onPrefilled)
        val position = waitingPrompts.indexOfFirst {
            isOrderedByRank && it.request.spec.priority.rank > request.spec.priority.rank
        }
        waitingPrompts = if (position < 0) {
            waitingPrompts + prompt
        } else {
            waitingPrompts.subList(0, position) + prompt + waitingPrompts.subList(position, waitingPrompts.size)
        }
        prefillNext()
    }

    /** Generates the answer to [request], then calls [onEnd]. */
    fun decode(request: SimulatedRequest, onEnd: () -> Unit) {
        val stream = Stream(request, request.spec.outputTokens.toDouble(), onEnd)
        advanceStreams()
        if (streams.size < pool.slots) streams = streams + stream else enqueue(stream)
        if (stream in streams) recordFirstToken(stream)
        scheduleNextStreamEnd()
    }

    /** Changes to [role] once nothing runs; ignored during another change. */
    fun changeRole(role: EngineRole) {
        if (!isAccepting) return
        nextRole = role
        startRoleChangeIfIdle()
    }

    private fun enqueue(stream: Stream) {
        val rank = stream.request.spec.priority.rank
        val position = waitingStreams.indexOfFirst { isOrderedByRank && it.request.spec.priority.rank > rank }
        val end = if (position < 0) waitingStreams.size else position
        waitingStreams = waitingStreams.subList(0, end) + stream + waitingStreams.subList(end, waitingStreams.size)
    }

    private fun prefillNext() {
        if (prefillingPrompt != null || waitingPrompts.isEmpty()) return
        val prompt = waitingPrompts.first()
        waitingPrompts = waitingPrompts.drop(1)
        advanceStreams()
        prefillingPrompt = prompt
        val slowdown = if (streams.isEmpty()) 1.0 else INTERFERENCE_FACTOR
        clock.schedule(prompt.uncachedTokens * MILLIS_PER_SECOND / pool.prefillTokensPerSecond * slowdown) {
            advanceStreams()
            prefillingPrompt = null
            prompt.onPrefilled()
            prefillNext()
            scheduleNextStreamEnd()
            startRoleChangeIfIdle()
        }
        scheduleNextStreamEnd()
    }

    private fun decodeStepMillis(): Double {
        val slowdown = if (prefillingPrompt == null) 1.0 else INTERFERENCE_FACTOR
        return slowdown * maxOf(MIN_DECODE_STEP_MILLIS, streams.size * MILLIS_PER_SECOND / pool.decodeTokensPerSecond)
    }

    private fun recordFirstToken(stream: Stream) {
        if (stream.request.firstTokenMillis == null) {
            stream.request.firstTokenMillis = clock.nowMillis + decodeStepMillis()
        }
    }

    /** Subtracts the tokens generated since the last call from the remaining tokens of all streams. */
    private fun advanceStreams() {
        val passedMillis = clock.nowMillis - advancedMillis
        advancedMillis = clock.nowMillis
        if (streams.isEmpty() || passedMillis <= 0) return
        val stepMillis = decodeStepMillis()
        streams.forEach { stream ->
            stream.remainingTokens -= passedMillis / stepMillis
            stream.request.slowestGapMillis = maxOf(stream.request.slowestGapMillis, stepMillis)
        }
    }

    /** Schedules the end of the stream that ends next, in place of an end that was scheduled before. */
    private fun scheduleNextStreamEnd() {
        val number = ++streamEndNumber
        val minRemainingTokens = streams.minOfOrNull { it.remainingTokens } ?: return
        clock.schedule(maxOf(0.0, minRemainingTokens) * decodeStepMillis()) {
            if (number == streamEndNumber) endFinishedStreams()
        }
    }

    private fun endFinishedStreams() {
        advanceStreams()
        val ended = streams.filter { it.remainingTokens <= TOKEN_TOLERANCE }
        streams = streams - ended.toSet()
        while (streams.size < pool.slots && waitingStreams.isNotEmpty()) {
            val next = waitingStreams.first()
            waitingStreams = waitingStreams.drop(1)
            streams = streams + next
            recordFirstToken(next)
        }
        ended.forEach { stream ->
            stream.request.endMillis = clock.nowMillis
            stream.onEnd()
        }
        scheduleNextStreamEnd()
        startRoleChangeIfIdle()
    }

    private fun startRoleChangeIfIdle() {
        val role = nextRole ?: return
        if (openRequests > 0 || isRestarting) return
        isRestarting = true
        clock.schedule(pool.roleChangeMillis.toDouble()) {
            this.role = role
            nextRole = null
            isRestarting = false
            prefixCache.clear()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val MIN_DECODE_STEP_MILLIS = 8.0

        /** The factor by which prefill and decode slow each other down while an engine does both. */
        const val INTERFERENCE_FACTOR = 1.6

        /** The remainder that counts as no token, because remaining tokens have rounding errors. */
        const val TOKEN_TOLERANCE = 1e-6
    }
}
