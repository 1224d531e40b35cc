package marigoldward.entry.caller

import marigoldward.core.Outcome
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.serving.AttemptResult
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.entry.serving.RequestChannel
import marigoldward.entry.serving.ServingLoop
import marigoldward.entry.serving.ServingLoopEvent
import marigoldward.entry.upstream.AttemptFailure
import marigoldward.entry.upstream.ServiceClient
import marigoldward.support.time.MonotonicClock
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayInputStream

/**
 * Serves one call to a service, from its arrival to its answer.
 *
 * It carries out the decisions of the serving loop. Only the thread that serves the caller may use it.
 *
 * @property key the idempotency key, or null if the call has none or needs none
 */
internal class ServiceSession(
    private val call: ServiceClient.ServiceCall,
    private val spec: RequestSpec,
    private val key: IdempotencyKey?,
    private val channel: RequestChannel,
    private val servingLoop: ServingLoop,
    private val serviceClient: ServiceClient,
    private val idempotencyGuard: IdempotencyGuard,
) {
    private var mayHaveRun = false

    /** Claims the idempotency key if there is one, runs the call and returns the response. */
    fun serve(): Response = when (val claim = claimKey()) {
        IdempotencyGuard.ClaimResult.Claimed -> run()
        is IdempotencyGuard.ClaimResult.AlreadyAnswered -> replay(claim)
        IdempotencyGuard.ClaimResult.HeldByAnother ->
            ErrorResponses.unknown(
                CONFLICT,
                "in_progress",
                "another attempt with this key runs or may have run",
                spec.id,
            )
        IdempotencyGuard.ClaimResult.KeyReused ->
            ErrorResponses.notRun(
                UNPROCESSABLE_CONTENT,
                "key_reused",
                "the idempotency key was used for another request",
                spec.id,
            )
        is IdempotencyGuard.ClaimResult.Unavailable ->
            ErrorResponses.unknown(
                SERVICE_UNAVAILABLE,
                "claim_unavailable",
                "${claim.reason}; this attempt did not run, an earlier one with the key may have",
                spec.id,
            ).header("Retry-After", CLAIM_RETRY_AFTER_SECONDS)
    }

    private fun claimKey(): IdempotencyGuard.ClaimResult {
        if (key == null) return IdempotencyGuard.ClaimResult.Claimed
        return idempotencyGuard.claim(key, spec.id, spec.fingerprint)
    }

    private fun run(): Response {
        if (!servingLoop.offer(ServingLoopEvent.RequestOpened(spec, channel))) {
            key?.let { idempotencyGuard.release(it, spec.id) }
            return ErrorResponses.notRun(SERVICE_UNAVAILABLE, "overloaded", "too many requests are waiting", spec.id)
        }
        try {
            while (true) awaitResponseOrNull()?.let { return it }
        } finally {
            servingLoop.put(ServingLoopEvent.RequestClosed(spec.id))
            val durationMillis = MonotonicClock.nowMillis() - spec.arrivedMillis
            EntryMetrics.observeRequestTime(spec.priority, spec.caller, "closed", durationMillis)
        }
    }

    /** Carries out the next decision; returns null if the call needs another one. */
    private fun awaitResponseOrNull(): Response? {
        val remainingMillis = spec.deadlineMillis - MonotonicClock.nowMillis()
        return when (val decision = channel.receiveOrNull(remainingMillis + DECISION_GRACE_MILLIS)) {
            null -> refused(ServingAction.Refuse(spec.id, Refusal.Expired(RETRY_AFTER_MILLIS), mayHaveRun))
            is ServingAction.Refuse -> refused(decision)
            is ServingAction.Quarantine -> null
            is ServingAction.Dispatch -> attempt(decision)
        }
    }

    private fun refused(refuse: ServingAction.Refuse): Response {
        if (!refuse.mayHaveRun) key?.let { idempotencyGuard.release(it, spec.id) }
        EntryMetrics.countRefusal(spec.priority, refuse.refusal.label, refuse.mayHaveRun)
        return ErrorResponses.refused(refuse)
    }

    private fun attempt(decision: ServingAction.Dispatch): Response? {
        val upstream = servingLoop.upstreams[decision.route.answeringUpstream]
        val result =
            if (upstream == null) {
                Outcome.Failure(AttemptFailure.NotRun("the service is no longer listed", isUpstreamFault = false))
            } else {
                serviceClient.send(upstream, call)
            }
        return when (result) {
            is Outcome.Success -> answered(decision, result.value)
            is Outcome.Failure -> {
                finishAttempt(decision, toAttemptResult(result.error))
                null
            }
        }
    }

    private fun answered(decision: ServingAction.Dispatch, answer: ServiceClient.ServiceAnswer): Response {
        finishAttempt(decision, AttemptResult.Done)
        key?.let { idempotencyGuard.complete(it, spec.id, answer) }
        val response =
            Response(Status(answer.statusCode, ""))
                .header(ErrorResponses.REQUEST_ID_HEADER, spec.id.text)
                .body(Body(ByteArrayInputStream(answer.body), answer.body.size.toLong()))
        val contentType = answer.headers["Content-Type"] ?: return response
        return response.header("Content-Type", contentType)
    }

    private fun toAttemptResult(failure: AttemptFailure): AttemptResult = when (failure) {
        is AttemptFailure.NotRun -> AttemptResult.NotRun(failure.isUpstreamFault)
        is AttemptFailure.Broken -> {
            mayHaveRun = true
            AttemptResult.Broken(0, failure.isCrash)
        }
        is AttemptFailure.Rejected -> AttemptResult.Done
    }

    private fun finishAttempt(decision: ServingAction.Dispatch, result: AttemptResult) {
        servingLoop.put(ServingEvent.AttemptFinished(spec.id, decision.attempt, result))
    }

    private fun replay(claim: IdempotencyGuard.ClaimResult.AlreadyAnswered): Response {
        val stored = claim.answer
        return Response(Status(stored.statusCode, ""))
            .header("Content-Type", stored.contentType)
            .header("X-Marigoldward-Replayed", "true")
            .header(ErrorResponses.REQUEST_ID_HEADER, spec.id.text)
            .body(stored.body ?: "the answer was too large to keep\n")
    }

    private companion object {
        /** How long after the deadline the refusal by the serving loop is awaited. */
        const val DECISION_GRACE_MILLIS = 2_000L
        const val RETRY_AFTER_MILLIS = 1_000L

        /** About as long as an election takes. */
        const val CLAIM_RETRY_AFTER_SECONDS = "2"
        const val CONFLICT = 409
        const val UNPROCESSABLE_CONTENT = 422
        const val SERVICE_UNAVAILABLE = 503
    }
}
