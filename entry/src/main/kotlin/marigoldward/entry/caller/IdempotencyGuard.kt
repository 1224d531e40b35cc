package marigoldward.entry.caller

import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.control.StoredAnswer
import marigoldward.core.model.RequestId
import marigoldward.entry.upstream.ServiceClient
import marigoldward.support.duty.Duty
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.control.ControlClient
import marigoldward.wire.control.SubmitReply

/**
 * Ensures that a request with an idempotency key runs at most once, even if it is sent to several entries.
 *
 * An attempt claims the key in the replicated control state before it runs, and stores its answer there afterwards.
 */
internal class IdempotencyGuard(private val control: ControlClient) : AutoCloseable {
    private val releases = Duty.start<ControlCommand.ReleaseClaim>("releases", MAX_PENDING_RELEASES) { commands ->
        commands.forEach(::submitRelease)
    }

    /** The result of claiming a key. */
    sealed interface ClaimResult {
        /** The attempt holds the key and may run. */
        data object Claimed : ClaimResult

        /** An earlier attempt ran the request and got [answer]. */
        data class AlreadyAnswered(val answer: StoredAnswer) : ClaimResult

        /** Another attempt holds the key. It may or may not have run the request. */
        data object HeldByAnother : ClaimResult

        /** The key was used for another request. */
        data object KeyReused : ClaimResult

        /** The claim failed for [reason], so this attempt may not run. An earlier one with the key may have run. */
        data class Unavailable(val reason: String) : ClaimResult
    }

    /** Claims [key] for the attempt [id] of a request with [fingerprint]. */
    fun claim(key: IdempotencyKey, id: RequestId, fingerprint: Fingerprint): ClaimResult {
        val command = ControlCommand.ClaimKey(key, id.text, fingerprint.hex, System.currentTimeMillis())
        return when (val reply = control.submit(command)) {
            is SubmitReply.Committed -> toClaimResult(reply.outcome)
            is SubmitReply.NotLeader -> ClaimResult.Unavailable("no control instance leads")
            is SubmitReply.Refused -> ClaimResult.Unavailable(reply.reason)
            SubmitReply.Unknown -> {
                release(key, id)
                ClaimResult.Unavailable("the claim was not answered")
            }
        }
    }

    /**
     * Stores [answer] to the request with [key], for later attempts.
     *
     * A body above [MAX_STORED_BYTES] is not stored; the status and the content type are.
     */
    fun complete(key: IdempotencyKey, id: RequestId, answer: ServiceClient.ServiceAnswer) {
        val text = if (answer.body.size <= MAX_STORED_BYTES) answer.body.toString(Charsets.UTF_8) else null
        val stored = StoredAnswer(answer.statusCode, answer.headers["Content-Type"].orEmpty(), text)
        submitOrLog(ControlCommand.CompleteClaim(key, id.text, stored), id)
    }

    /**
     * Releases [key], for a request that has certainly not run.
     *
     * This happens in the background, so that the response to the caller is not delayed. It is retried until the
     * control state accepts it, for up to [RELEASE_TIMEOUT_MILLIS]. Until then the key stays claimed: a caller that
     * sends the request again is told that another attempt holds the key.
     */
    fun release(key: IdempotencyKey, id: RequestId) {
        if (!releases.offer(ControlCommand.ReleaseClaim(key, id.text))) {
            log.warn("claim_not_released") { field("request", id) }
        }
    }

    override fun close() = releases.close()

    private fun submitRelease(command: ControlCommand.ReleaseClaim) {
        val endMillis = MonotonicClock.nowMillis() + RELEASE_TIMEOUT_MILLIS
        while (MonotonicClock.nowMillis() < endMillis) {
            if (control.submit(command) is SubmitReply.Committed) return
        }
        log.warn("claim_not_released") { field("request", command.attemptId) }
    }

    private fun toClaimResult(outcome: ControlOutcome): ClaimResult = when (outcome) {
        ControlOutcome.Claimed -> ClaimResult.Claimed
        is ControlOutcome.AlreadyAnswered -> ClaimResult.AlreadyAnswered(outcome.answer)
        is ControlOutcome.ClaimHeld -> ClaimResult.HeldByAnother
        ControlOutcome.KeyReused -> ClaimResult.KeyReused
        ControlOutcome.ClaimsFull -> ClaimResult.Unavailable("no more idempotency keys can be kept")
        else -> error("unexpected outcome of an idempotency claim: $outcome")
    }

    private fun submitOrLog(command: ControlCommand, id: RequestId) {
        val reply = control.submit(command)
        if (reply is SubmitReply.Committed) return
        log.warn("claim_not_updated") {
            field("request", id)
            field("reply", reply)
        }
    }

    private companion object {
        const val MAX_STORED_BYTES = 16_384
        const val MAX_PENDING_RELEASES = 1_024
        const val RELEASE_TIMEOUT_MILLIS = 120_000L
        val log = EventLog.fromName("idempotency")
    }
}
