package marigoldward.gateway.session

import marigoldward.core.control.Fingerprint
import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.AttemptHistory
import marigoldward.core.dispatch.RetryRules
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.message.ResponseHead
import java.util.concurrent.Future

/** Serves one request: keeps its deadline, its attempts at upstreams and its outcome. */
internal abstract class Session(protected val context: SessionContext, protected val request: SessionRequest) {
    protected var history: AttemptHistory = AttemptHistory.NONE
        private set
    protected var triedUpstreams: Set<UpstreamId> = emptySet()
        private set
    private var timing = ResponseTiming.NOT_STARTED
    private var isRetryAllowed = true
    private val timers = ArrayList<Future<*>>(1)
    protected var hasEnded: Boolean = false
        private set

    /** The time until the deadline of the request, in milliseconds; negative after it. */
    protected val remainingMillis: Long get() = request.deadlineMillis - context.nowMillis()

    /** Whether an upstream may be running the request, or may have run it. */
    private var mayRun = false

    /** Whether the request may have run, so that the caller must not be told that it has not. */
    val mayHaveRun: Boolean get() = mayRun || history.mayHaveRun

    private var isBegunRecorded = false

    /** Starts the first attempt and the timer for the deadline. */
    fun start() {
        context.recordSessionStart(this)
        request.exchange.onCallerGone = ::onCallerGone
        context.recordRequest(request.serviceName)
        scheduleUntilEnd(remainingMillis, ::onTimeout)
        if (remainingMillis > 0) startNextAttempt() else endWithoutResponse(SessionEnd.NotRun.BY_DEADLINE)
    }

    /** Calls [action] after [delayMillis], unless the request has ended by then. */
    protected fun scheduleUntilEnd(delayMillis: Long, action: () -> Unit) {
        timers.removeIf { it.isDone }
        timers.add(context.schedule(delayMillis, action))
    }

    /** Sends the request to another upstream, or ends it if none can serve it. */
    protected abstract fun startNextAttempt()

    /** Cancels the current attempt and frees what upstreams hold for the request. */
    protected abstract fun cancelUpstreamWork(reason: String)

    /** Ends the request as [end], unless a response to it has begun or an upstream's error can be forwarded. */
    protected abstract fun endUnanswered(end: SessionEnd)

    /** Ends the request because the gateway is about to exit. */
    fun endForExit() {
        if (hasEnded) return
        val end = if (mayHaveRun) SessionEnd.Unknown(SHUTTING_DOWN) else SessionEnd.NotRun.BY_SHUTDOWN
        try {
            cancelUpstreamWork("shutting down")
        } finally {
            endUnanswered(end)
        }
    }

    /** Records that an attempt is sent which runs the request. */
    protected fun recordRunSent() {
        mayRun = true
    }

    /** Counts the request as one that an upstream began to run at [monotonicMillis], unless it is counted already. */
    protected fun recordBegun(monotonicMillis: Long) {
        if (isBegunRecorded) return
        isBegunRecorded = true
        request.workspace?.let { context.recordBegun(it, monotonicMillis) }
    }

    private fun onTimeout() {
        try {
            cancelUpstreamWork("time over")
        } finally {
            endUnanswered(SessionEnd.TimedOut)
        }
    }

    /** Records that an attempt at [upstream] ended as [end]. */
    protected fun recordAttemptEnd(upstream: UpstreamId, end: AttemptEnd) {
        history = history.after(end)
        triedUpstreams = triedUpstreams + upstream
    }

    /**
     * Returns whether the request may be sent again after an attempt that ended as [end]; takes the retry from the
     * budget if it is charged to it.
     */
    protected fun acquireRetry(end: AttemptEnd): Boolean {
        if (!isRetryAllowed) return false
        return when (RetryRules.decide(request.route, history, end, remainingMillis)) {
            RetryRules.Decision.SEND_AGAIN -> true
            RetryRules.Decision.SEND_AGAIN_FROM_BUDGET -> takeFromRetryBudget()
            RetryRules.Decision.GIVE_UP -> false
        }
    }

    /** Takes one retry from this gateway's share of the budget; returns false if none is left. */
    protected fun takeFromRetryBudget(): Boolean = context.tryTakeRetry(request.serviceName)

    /**
     * Records that the upstream of [attempt] may have crashed while it was answering the request. If that is not the first
     * crash under one of its fingerprints, the request is not sent again, as it would probably crash the next upstream
     * too.
     */
    protected fun recordCrash(attempt: UpstreamAttempt) {
        if (context.crashes.isUnclearedSuspect(request.fingerprints, context.nowMillis())) isRetryAllowed = false
        val upstream = attempt.upstream
        context.crashes
            .recordCrash(upstream.id, request.fingerprints, attempt.knownCrashes, upstream.startedUnixMillis)
    }

    /** Returns the fingerprints of the request that are under suspicion now. */
    protected fun currentSuspects(): List<Fingerprint> =
        if (context.crashes.isEmpty) emptyList() else context.crashes.suspectsAmong(request.fingerprints)

    /** Records a complete answer, which an upstream began while the fingerprints of [suspects] were under suspicion. */
    protected fun recordAnswered(suspects: List<Fingerprint>) =
        context.crashes.recordAnswered(request.partFingerprints, suspects, context.nowMillis())

    /** Ends the request if it is quarantined, and returns whether it is. */
    protected fun endIfQuarantined(): Boolean {
        if (context.crashes.isEmpty) return false
        val fingerprint = context.crashes.quarantinedOrNull(request.fingerprints) ?: return false
        SessionLog.quarantined(request, fingerprint)
        endQuarantined()
        return true
    }

    /** Ends the request, which no upstream may get any more. */
    protected open fun endQuarantined() = endWithoutResponse(
        if (history.mayHaveRun) SessionEnd.Unknown(QUARANTINED) else SessionEnd.NotRun(QUARANTINED, QUARANTINE_MILLIS),
    )

    /** Records that a part of the response is sent to the caller now. */
    protected fun recordPartSent() {
        timing = timing.withPartSent(context.nowMillis(), request.arrivedMillis)
    }

    /** Ends the request with an upstream's complete response. */
    protected fun respond(head: ResponseHead, body: ByteArray) {
        recordPartSent()
        recordOutcome("answered", head.status)
        request.exchange.respond(ResponseHead(head.status, head.headers.endToEnd().without(CONTENT_LENGTH)), body)
    }

    /** Ends the request with the gateway's own response, as no upstream's response can be forwarded. */
    protected fun endWithoutResponse(end: SessionEnd) {
        recordOutcome(end.label, end.status, isRefused = end is SessionEnd.NotRun)
        SessionEnd.send(end, request.id, request.exchange, context.dialect)
    }

    /** Ends the request after its last attempt failed; [reason] becomes part of the outcome. */
    protected fun endAfterFailure(reason: String) {
        val retryAfterMillis = SessionEnd.retryAfterMillis(remainingMillis)
        endWithoutResponse(
            if (history.mayHaveRun) SessionEnd.Unknown(reason) else SessionEnd.NotRun(reason, retryAfterMillis),
        )
    }

    /** Marks the request as ended, and logs and counts [outcome]; later outcomes are ignored. */
    protected fun recordOutcome(outcome: String, status: Int?, isRefused: Boolean = false) {
        if (hasEnded) return
        hasEnded = true
        // A timer would keep the request in memory until it is due.
        timers.forEach { it.cancel(false) }
        timers.clear()
        val nowMillis = context.nowMillis()
        context.recordSessionEnd(this, request, nowMillis - request.arrivedMillis, isRefused)
        SessionLog.ended(request, outcome, status, timing, nowMillis)
        request.workspace?.let { GatewayMetrics.recordWorkspaceRequest(it.name, isRefused) }
    }

    private fun onCallerGone() {
        if (hasEnded) return
        recordOutcome("caller_left", null)
        cancelUpstreamWork("caller left")
    }

    protected companion object {
        /** The outcome of a request that is quarantined. */
        const val QUARANTINED: String = "quarantined"

        /** The outcome of a request that has not ended when the gateway exits. */
        private const val SHUTTING_DOWN = "shutting_down"

        /** The `Retry-After` of a quarantined request: longer than any caller waits for an answer. */
        private const val QUARANTINE_MILLIS = 60_000L
        private val CONTENT_LENGTH = setOf("content-length")
    }
}
