package marigoldward.entry.caller

import marigoldward.core.Outcome
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.serving.AttemptResult
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.entry.serving.RequestChannel
import marigoldward.entry.serving.ServingDuty
import marigoldward.entry.serving.ServingDutyEvent
import marigoldward.entry.upstream.AttemptFailure
import marigoldward.entry.upstream.ServiceClient
import marigoldward.support.time.MonotonicClock
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayInputStream

/** One call of a plain service from its arrival to its end. Used by the one thread that serves the caller. */
internal class ServiceSession(
    private val call: ServiceClient.ServiceCall,
    private val spec: RequestSpec,
    private val key: IdempotencyKey?,
    private val channel: RequestChannel,
    private val serving: ServingDuty,
    private val services: ServiceClient,
    private val guard: IdempotencyGuard,
) {
    private var mayHaveRun = false

    /** Serves the call. */
    fun serve(): Response {
        val claimed = if (key == null) IdempotencyGuard.Verdict.Run else guard.claim(key, spec.id, spec.fingerprint)
        return when (claimed) {
            IdempotencyGuard.Verdict.Run -> run()
            is IdempotencyGuard.Verdict.Replay -> replay(claimed)
            IdempotencyGuard.Verdict.Held ->
                Outcomes.unknown(CONFLICT, "in_progress", "another attempt with this key runs or may have run", spec.id)
            IdempotencyGuard.Verdict.Reused ->
                Outcomes.notRun(
                    UNPROCESSABLE,
                    "key_reused",
                    "the idempotency key was used for another request",
                    spec.id,
                )
            is IdempotencyGuard.Verdict.Unavailable ->
                Outcomes.unknown(
                    UNAVAILABLE,
                    "claim_unavailable",
                    "${claimed.reason}; this attempt did not run, an earlier one with the key may have",
                    spec.id,
                ).header("Retry-After", RETRY_AFTER_SECONDS)
        }
    }

    private fun run(): Response {
        if (!serving.offer(ServingDutyEvent.Opened(spec, channel))) {
            key?.let { guard.release(it, spec.id) }
            return Outcomes.notRun(UNAVAILABLE, "overloaded", "too many requests are waiting", spec.id)
        }
        try {
            while (true) decide()?.let { return it }
        } finally {
            serving.put(ServingDutyEvent.Closed(spec.id))
            val tookMillis = MonotonicClock.nowMillis() - spec.arrivedMillis
            EntryMetrics.observeWhole(spec.priority, spec.caller, "closed", tookMillis)
        }
    }

    private fun decide(): Response? {
        val leftMillis = spec.deadlineMillis - MonotonicClock.nowMillis()
        return when (val decision = channel.receiveOrNull(leftMillis + DECISION_SLACK_MILLIS)) {
            null -> refused(ServingAction.Refuse(spec.id, Refusal.Expired(RETRY_AFTER_MILLIS), mayHaveRun))
            is ServingAction.Refuse -> refused(decision)
            is ServingAction.Quarantine -> null
            is ServingAction.Dispatch -> attempt(decision)
        }
    }

    private fun refused(refuse: ServingAction.Refuse): Response {
        if (!refuse.mayHaveRun) key?.let { guard.release(it, spec.id) }
        EntryMetrics.countRefused(spec.priority, refuse.refusal.label, refuse.mayHaveRun)
        return Outcomes.refused(refuse)
    }

    private fun attempt(decision: ServingAction.Dispatch): Response? {
        val upstream = serving.upstreams[decision.route.answeringUpstream]
        val result =
            if (upstream == null) {
                Outcome.Failure(AttemptFailure.NotRun("the service is no longer listed", isUpstreamFault = false))
            } else {
                services.send(upstream, call)
            }
        return when (result) {
            is Outcome.Success -> answered(decision, result.value)
            is Outcome.Failure -> {
                finish(decision, toResult(result.error))
                null
            }
        }
    }

    private fun answered(decision: ServingAction.Dispatch, answer: ServiceClient.ServiceAnswer): Response {
        finish(decision, AttemptResult.Done)
        key?.let { guard.complete(it, spec.id, answer) }
        val response =
            Response(Status(answer.statusCode, ""))
                .header(Outcomes.REQUEST_HEADER, spec.id.text)
                .body(Body(ByteArrayInputStream(answer.body), answer.body.size.toLong()))
        val contentType = answer.headers["Content-Type"] ?: return response
        return response.header("Content-Type", contentType)
    }

    private fun toResult(failure: AttemptFailure): AttemptResult = when (failure) {
        is AttemptFailure.NotRun -> AttemptResult.NotRun(failure.isUpstreamFault)
        is AttemptFailure.Broken -> {
            mayHaveRun = true
            AttemptResult.Broken(0, failure.isCrash)
        }
        is AttemptFailure.Rejected -> AttemptResult.Done
    }

    private fun finish(decision: ServingAction.Dispatch, result: AttemptResult) {
        serving.put(ServingEvent.AttemptFinished(spec.id, decision.attempt, result))
    }

    private fun replay(verdict: IdempotencyGuard.Verdict.Replay): Response {
        val stored = verdict.answer
        return Response(Status(stored.statusCode, ""))
            .header("Content-Type", stored.contentType)
            .header("X-Marigoldward-Replayed", "true")
            .header(Outcomes.REQUEST_HEADER, spec.id.text)
            .body(stored.body ?: "the answer was too large to keep\n")
    }

    private companion object {
        const val DECISION_SLACK_MILLIS = 2_000L
        const val RETRY_AFTER_MILLIS = 1_000L

        /** An election takes about this long, in seconds. */
        const val RETRY_AFTER_SECONDS = "2"
        const val CONFLICT = 409
        const val UNPROCESSABLE = 422
        const val UNAVAILABLE = 503
    }
}
