package marigoldward.gateway.session

/**
 * The admission of one request by the [LongPromptGate][marigoldward.core.dispatch.LongPromptGate] of its service.
 *
 * @param onAdmitted called when the request is admitted after it was queued
 */
internal class LongPromptAdmission(
    private val context: SessionContext,
    private val request: SessionRequest,
    private val onAdmitted: () -> Unit,
) {
    /** The result of a request for admission. */
    sealed interface Result {
        /** The prompt may be sent to an engine now. */
        data object Admitted : Result

        /** The prompt waits; `onAdmitted` is called when it may be sent. */
        data object Queued : Result

        /** The prompt would wait too long. */
        data object Rejected : Result
    }

    private var isQueued = false

    /** When the gate admitted the request, in milliseconds of monotonic time, or null if it is not admitted. */
    private var admittedMillis: Long? = null

    private val gate get() = context.longPromptGate(request.serviceName)
    private val limit get() = context.longPromptLimit(request.serviceName)
    private val maxQueueMillis get() = request.route.targetLatencyMillis * MAX_QUEUE_TARGET_FRACTION

    /**
     * Requests admission of a prompt with [prefillTokens] tokens to process; [remainingMillis] is the time that is left
     * for the whole request.
     */
    fun requestAdmission(prefillTokens: Int, remainingMillis: Long): Result {
        if (admittedMillis != null || !gate.isLimited(prefillTokens)) return Result.Admitted
        val expectedWaitMillis = gate.expectedWaitMillis(request.priority, limit)
        return when {
            gate.tryAdmit(limit) -> {
                admittedMillis = context.nowMillis()
                Result.Admitted
            }
            expectedWaitMillis > maxOf(maxQueueMillis, remainingMillis * MAX_QUEUE_REMAINING_FRACTION) ->
                Result.Rejected
            else -> {
                enqueue()
                Result.Queued
            }
        }
    }

    /** Leaves the queue, or frees the slot of the admitted prompt, which admits the next one. */
    fun release() {
        if (isQueued) gate.remove(this)
        isQueued = false
        val startedMillis = admittedMillis ?: return
        admittedMillis = null
        gate.release(context.nowMillis() - startedMillis, limit)?.admit()
    }

    private fun enqueue() {
        isQueued = true
        gate.enqueue(this, request.priority, context.nowMillis())
        context.schedule(maxQueueMillis.toLong()) {
            if (isQueued) {
                gate.admitOutOfTurn(this)
                admit()
            }
        }
    }

    /**
     * Starts the prompt in a task of its own. One that ends at once admits the next, so a long queue would otherwise
     * exhaust the stack, and a failure in one request would reach the one that released its slot.
     */
    private fun admit() {
        isQueued = false
        admittedMillis = context.nowMillis()
        context.schedule(0) { if (admittedMillis != null) onAdmitted() }
    }

    private companion object {
        /**
         * The part of the target latency that a long prompt waits at most before it is admitted out of turn; its
         * prefill needs the rest.
         */
        const val MAX_QUEUE_TARGET_FRACTION = 0.6

        /**
         * A prompt is rejected if its expected wait exceeds this part of the remaining time, and the longest time in
         * the queue.
         */
        const val MAX_QUEUE_REMAINING_FRACTION = 0.25
    }
}
