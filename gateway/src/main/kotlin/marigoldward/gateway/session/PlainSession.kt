package marigoldward.gateway.session

import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.Placement
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.AnswerHead
import marigoldward.gateway.upstream.UpstreamFailure

/** A request to a plain service: its answer is passed on once it is whole. */
internal class PlainSession(context: ServingContext, request: SessionRequest) : Session(context, request) {
    private var current: UpstreamTry? = null

    /** An upstream's own word that it failed, to be passed on if no other does better. */
    private var failure: Answer? = null

    private class Answer(val head: AnswerHead, val body: ByteArray)

    override fun attempt() {
        when (val placement = context.dispatcher.place(request.serviceName, tried, context.nowMillis())) {
            is Placement.Single -> send(placement.upstream)
            is Placement.Split -> error("a plain service has no engines")
            is Placement.None -> giveUp(placement)
        }
    }

    override fun cancelAll(reason: String) {
        current?.cancel(AttemptEnd.CANCELLED, reason)
    }

    override fun timedOut() {
        cancelAll("time over")
        val known = failure
        if (known == null) end(SessionEnd.TimedOut) else answer(known.head, known.body)
    }

    private fun giveUp(placement: Placement.None) {
        val known = failure
        when {
            known != null -> answer(known.head, known.body)
            history.mayHaveRun -> end(SessionEnd.Unknown(placement.reason.name.lowercase()))
            else -> end(SessionEnd.fromPlacement(placement, leftMillis))
        }
    }

    private fun send(upstream: ListedUpstream) {
        val order =
            Dialect.ForwardOrder(
                upstream.id,
                leftMillis,
                request.route.priority,
                Dialect.Step.Whole,
                resumeAfter = null,
            )
        lateinit var sent: UpstreamTry
        sent = UpstreamTry(context, request, upstream, Answers { sent })
        current = sent
        val head = context.dialect.forwarded(request.head, order)
        sent.send(head, "whole", tokensToRead = 0, copyFrom = null, isFreshNeeded = !request.route.isRepeatable)
        if (request.route.isRepeatable) context.later(patienceMillis()) { lostPatience(sent) }
    }

    private fun patienceMillis(): Long = request.route.targetLatencyMillis * PATIENCE_TARGETS

    /** An answer that is long overdue may be lost: another upstream is asked if the budget allows it. */
    private fun lostPatience(waiting: UpstreamTry) {
        if (isOver || current !== waiting) return
        val afterwards = history.after(AttemptEnd.SILENT)
        if (afterwards.possibleRuns >= request.route.maxAttempts ||
            leftMillis < patienceMillis() ||
            !takeRepeat()
        ) {
            return
        }
        waiting.cancel(AttemptEnd.SILENT, "no answer after ${waiting.ageMillis} ms")
        note(waiting.upstream.id, AttemptEnd.SILENT)
        attempt()
    }

    private fun failed(sent: UpstreamTry, end: AttemptEnd, reason: String) {
        if (isOver || current !== sent) return
        sent.over(end, reason)
        note(sent.upstream.id, end)
        if (mayRepeat(end)) {
            attempt()
            return
        }
        val known = failure
        if (known == null) endAfterFailure(reason) else answer(known.head, known.body)
    }

    private inner class Answers(private val sent: () -> UpstreamTry) : WholeAnswer() {
        override fun onEnd() {
            when (val verdict = AnswerVerdict.of(head, facts)) {
                AnswerVerdict.Good -> {
                    sent().over(AttemptEnd.ANSWERED, "")
                    if (!isOver && current === sent()) answer(head, body)
                }
                AnswerVerdict.Failed -> {
                    failure = Answer(head, body)
                    failed(sent(), AttemptEnd.FAILED, "status ${head.status}")
                }
                is AnswerVerdict.Unusable -> failed(sent(), verdict.end, verdict.reason)
            }
        }

        override fun onFailure(failure: UpstreamFailure) = failed(sent(), failure.end, failure.reason)
    }

    private companion object {
        /** After how many times its target an answer that may be asked for again counts as lost. */
        const val PATIENCE_TARGETS = 2
    }
}
