package marigoldward.bench.policy

import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.EngineRole
import marigoldward.core.serving.LoadReport
import marigoldward.core.serving.PrefixPieces
import marigoldward.core.serving.UpstreamInfo

/**
 * The cost model of one engine: prompts are read one at a time, by rank and arrival; streams share decode steps that
 * grow with their number; a change of role waits for what runs and then takes the engine away.
 */
internal class ModelEngine(
    val info: UpstreamInfo,
    private val pool: UpstreamPool,
    var role: EngineRole,
    private val time: VirtualTime,
    private val honoursRanks: Boolean,
) {
    private class Prompt(val request: ModelRequest, val tokens: Long, val onRead: () -> Unit)

    private class Stream(val request: ModelRequest, var leftTokens: Double, val onEnd: () -> Unit)

    private var waitingPrompts = emptyList<Prompt>()
    private var reading: Prompt? = null
    private var streams = emptyList<Stream>()
    private var waitingStreams = emptyList<Stream>()
    private var advancedMillis = 0.0
    private var decodeRound = 0L
    private var nextRole: EngineRole? = null
    private var isAway = false
    private val cache = object : LinkedHashMap<Long, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean =
            size * PrefixPieces.TOKENS_PER_PIECE > pool.kvCapacityTokens
    }

    val isAccepting: Boolean get() = nextRole == null && !isAway

    val isStable: Boolean get() = isAccepting

    /** The role that it has, or is changing to. */
    val targetRole: EngineRole get() = nextRole ?: role

    val streamCount: Int get() = streams.size + waitingStreams.size + waitingPrompts.size +
        if (reading == null) 0 else 1

    fun report(): LoadReport {
        val open = waitingPrompts + listOfNotNull(reading)
        val held = streams + waitingStreams
        return LoadReport(
            role = role,
            streams = streamCount,
            prefillTokens = open.sumOf { it.tokens },
            kvTokens = open.sumOf { it.request.spec.kvTokens } + held.sumOf { it.request.spec.kvTokens },
            isAccepting = isAccepting,
            incarnation = "1",
        )
    }

    /** Reads the prompt of [request], then calls [onRead]. */
    fun read(request: ModelRequest, onRead: () -> Unit) {
        val cached = request.spec.pieceHashes.takeWhile { it in cache }.size
        request.spec.pieceHashes.forEach { cache[it] = Unit }
        val tokens = maxOf(1, request.spec.promptTokens - cached * PrefixPieces.TOKENS_PER_PIECE)
        val prompt = Prompt(request, tokens, onRead)
        val position = waitingPrompts.indexOfFirst {
            honoursRanks &&
                it.request.spec.priority.rank > request.spec.priority.rank
        }
        waitingPrompts = if (position < 0) {
            waitingPrompts + prompt
        } else {
            waitingPrompts.subList(0, position) + prompt + waitingPrompts.subList(position, waitingPrompts.size)
        }
        readNext()
    }

    /** Generates the answer to [request], then calls [onEnd]. */
    fun decode(request: ModelRequest, onEnd: () -> Unit) {
        val stream = Stream(request, request.spec.outputTokens.toDouble(), onEnd)
        advance()
        if (streams.size < pool.slots) streams = streams + stream else waitForSlot(stream)
        if (stream in streams) firstToken(stream)
        planDecode()
    }

    /** Changes to [role] once nothing runs. */
    fun changeRole(role: EngineRole) {
        if (!isAccepting) return
        nextRole = role
        leaveIfIdle()
    }

    private fun waitForSlot(stream: Stream) {
        val rank = stream.request.spec.priority.rank
        val position = waitingStreams.indexOfFirst { honoursRanks && it.request.spec.priority.rank > rank }
        val end = if (position < 0) waitingStreams.size else position
        waitingStreams = waitingStreams.subList(0, end) + stream + waitingStreams.subList(end, waitingStreams.size)
    }

    private fun readNext() {
        if (reading != null || waitingPrompts.isEmpty()) return
        val prompt = waitingPrompts.first()
        waitingPrompts = waitingPrompts.drop(1)
        advance()
        reading = prompt
        val stretch = if (streams.isEmpty()) 1.0 else MIXED_STRETCH
        time.after(prompt.tokens * MILLIS_PER_SECOND / pool.prefillTokensPerSecond * stretch) {
            advance()
            reading = null
            prompt.onRead()
            readNext()
            planDecode()
            leaveIfIdle()
        }
        planDecode()
    }

    private fun stepMillis(): Double {
        val stretch = if (reading == null) 1.0 else MIXED_STRETCH
        return stretch * maxOf(MIN_STEP_MILLIS, streams.size * MILLIS_PER_SECOND / pool.decodeTokensPerSecond)
    }

    private fun firstToken(stream: Stream) {
        if (stream.request.firstTokenMillis == null) stream.request.firstTokenMillis = time.nowMillis + stepMillis()
    }

    /** Lets the streams make the tokens of the time since the last call. */
    private fun advance() {
        val passedMillis = time.nowMillis - advancedMillis
        advancedMillis = time.nowMillis
        if (streams.isEmpty() || passedMillis <= 0) return
        val step = stepMillis()
        streams.forEach { stream ->
            stream.leftTokens -= passedMillis / step
            stream.request.slowestGapMillis = maxOf(stream.request.slowestGapMillis, step)
        }
    }

    private fun planDecode() {
        val round = ++decodeRound
        val least = streams.minOfOrNull { it.leftTokens } ?: return
        time.after(maxOf(0.0, least) * stepMillis()) {
            if (round == decodeRound) endStreams()
        }
    }

    private fun endStreams() {
        advance()
        val ended = streams.filter { it.leftTokens <= ROUNDING }
        streams = streams - ended.toSet()
        while (streams.size < pool.slots && waitingStreams.isNotEmpty()) {
            val next = waitingStreams.first()
            waitingStreams = waitingStreams.drop(1)
            streams = streams + next
            firstToken(next)
        }
        ended.forEach { stream ->
            stream.request.endMillis = time.nowMillis
            stream.onEnd()
        }
        planDecode()
        leaveIfIdle()
    }

    private fun leaveIfIdle() {
        val role = nextRole ?: return
        if (streamCount > 0 || isAway) return
        isAway = true
        time.after(pool.roleChangeMillis.toDouble()) {
            this.role = role
            nextRole = null
            isAway = false
            cache.clear()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val MIN_STEP_MILLIS = 8.0
        const val MIXED_STRETCH = 1.6
        const val ROUNDING = 1e-6
    }
}
