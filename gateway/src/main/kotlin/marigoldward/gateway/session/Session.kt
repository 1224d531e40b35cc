package marigoldward.gateway.session

import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.AttemptHistory
import marigoldward.core.dispatch.RetryRules
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.message.AnswerHead

/** What the ways to serve a request have in common: its time, its attempts and its end. */
internal abstract class Session(protected val context: ServingContext, protected val request: SessionRequest) {
    protected var history: AttemptHistory = AttemptHistory.NONE
        private set
    protected var tried: Set<UpstreamId> = emptySet()
        private set
    private var pace = AnswerPace.NONE
    protected var isOver: Boolean = false
        private set

    /** The time that is left, in milliseconds. */
    protected val leftMillis: Long get() = request.deadlineMillis - context.nowMillis()

    /** Serves the request. */
    fun start() {
        request.exchange.onGone = ::callerLeft
        context.allowance(request.serviceName).recordRequest(context.nowMillis())
        val timeout = context.later(leftMillis) { if (!isOver) timedOut() }
        onOver = { timeout.cancel(false) }
        attempt()
    }

    private var onOver: () -> Unit = {}

    /** Sends the request to the next upstream, or ends it. */
    protected abstract fun attempt()

    /** Closes what is under way at upstreams. */
    protected abstract fun cancelAll(reason: String)

    /** Called when the request's time is over. */
    protected abstract fun timedOut()

    /** Notes that an attempt at [upstream] ended as [end]. */
    protected fun note(upstream: UpstreamId, end: AttemptEnd) {
        history = history.after(end)
        tried = tried + upstream
    }

    /** Whether the request is sent again after an attempt that ended as [end]; takes it out of the budget if so. */
    protected fun mayRepeat(end: AttemptEnd): Boolean =
        when (RetryRules.decide(request.route, history, end, leftMillis)) {
            RetryRules.Decision.SEND_AGAIN -> true
            RetryRules.Decision.SEND_AGAIN_FROM_BUDGET -> takeRepeat()
            RetryRules.Decision.GIVE_UP -> false
        }

    /** Takes one repeat out of this entry's part of the budget. */
    protected fun takeRepeat(): Boolean =
        context.allowance(request.serviceName).tryTake(context.entries, context.nowMillis())

    /** Notes that a part of the answer goes to the caller now. */
    protected fun passed() {
        pace = pace.after(context.nowMillis(), request.arrivedMillis)
    }

    /** Ends the request with an upstream's whole answer. */
    protected fun answer(head: AnswerHead, body: ByteArray) {
        passed()
        over("answered", head.status)
        request.exchange.answer(AnswerHead(head.status, head.headers.endToEnd().without(LENGTH)), body)
    }

    /** Ends the request without an upstream's answer. */
    protected fun end(end: SessionEnd) {
        over(end.label, end.status)
        SessionEnd.send(end, request.id, request.exchange, context.dialect)
    }

    /** Ends the request after its last attempt failed for [reason]. */
    protected fun endAfterFailure(reason: String) {
        val retryAfterMillis = SessionEnd.retryAfter(leftMillis)
        end(if (history.mayHaveRun) SessionEnd.Unknown(reason) else SessionEnd.NotRun(reason, retryAfterMillis))
    }

    /** Notes that the request has ended. */
    protected fun over(outcome: String, status: Int?) {
        if (isOver) return
        isOver = true
        onOver()
        SessionLog.ended(request, outcome, status, pace, context.nowMillis())
    }

    private fun callerLeft() {
        if (isOver) return
        over("caller_left", null)
        cancelAll("caller left")
    }

    private companion object {
        val LENGTH = setOf("content-length")
    }
}
