package marigoldward.gateway.session

/**
 * One request's place at the gate for long prompts.
 *
 * @param onTurn called when it is the request's turn, after it had to wait
 */
internal class ReadTurn(
    private val context: ServingContext,
    private val request: SessionRequest,
    private val onTurn: () -> Unit,
) {
    /** Whether a prompt may be sent to an engine. */
    sealed interface Verdict {
        /** It may go now. */
        data object Now : Verdict

        /** It waits; [onTurn] says when it may go. */
        data object Later : Verdict

        /** It would wait too long. */
        data object TooLong : Verdict
    }

    private var isWaiting = false

    /** When the gate let the request through, in milliseconds of monotonic time, or null. */
    private var throughMillis: Long? = null

    private val gate get() = context.gate(request.serviceName)
    private val limit get() = context.gateLimit(request.serviceName)
    private val longestHoldMillis get() = request.route.targetLatencyMillis * HOLD_PART

    /** Asks for a turn to have [tokens] tokens read, with [leftMillis] left for the whole request. */
    fun take(tokens: Int, leftMillis: Long): Verdict {
        if (throughMillis != null || !gate.isLimited(tokens)) return Verdict.Now
        val waitMillis = gate.expectedWaitMillis(request.route.priority, limit)
        return when {
            gate.tryAdmit(limit) -> {
                throughMillis = context.nowMillis()
                Verdict.Now
            }
            waitMillis > maxOf(longestHoldMillis, leftMillis * HOPE_PART) -> Verdict.TooLong
            else -> {
                hold()
                Verdict.Later
            }
        }
    }

    /** Gives the turn, or the place among those that wait, to the next. */
    fun leave() {
        if (isWaiting) gate.remove(this)
        isWaiting = false
        val sinceMillis = throughMillis ?: return
        throughMillis = null
        gate.release(context.nowMillis() - sinceMillis, limit)?.letThrough()
    }

    private fun hold() {
        isWaiting = true
        gate.enqueue(this, request.route.priority, context.nowMillis())
        context.later(longestHoldMillis.toLong()) {
            if (isWaiting) {
                gate.admitOutOfTurn(this)
                letThrough()
            }
        }
    }

    private fun letThrough() {
        isWaiting = false
        throughMillis = context.nowMillis()
        onTurn()
    }

    private companion object {
        /** The part of its target for which a long prompt may wait for its turn; reading it takes the rest. */
        const val HOLD_PART = 0.6

        /** The part of the time left that it may wait in the worst case. */
        const val HOPE_PART = 0.25
    }
}
