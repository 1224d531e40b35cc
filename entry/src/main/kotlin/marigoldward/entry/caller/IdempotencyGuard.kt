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

/** Sees to it that a request with an idempotency key runs at most once, through whatever entry it comes. */
internal class IdempotencyGuard(private val control: ControlClient) : AutoCloseable {
    private val releases = Duty.start<ControlCommand.ReleaseClaim>("releases", RING_RELEASES) {
        it.forEach(::releaseNow)
    }

    /** What the replicated state says of a key. */
    sealed interface Verdict {
        /** The request may run. */
        data object Run : Verdict

        /** It ran before; this was the answer. */
        data class Replay(val answer: StoredAnswer) : Verdict

        /** Another attempt has the key; whether it ran is not known. */
        data object Held : Verdict

        /** The key was used for another request. */
        data object Reused : Verdict

        /** The state can't be asked: this attempt is not run, but an earlier one with the key may have. */
        data class Unavailable(val reason: String) : Verdict
    }

    /** Claims [key] for the attempt [id]. */
    fun claim(key: IdempotencyKey, id: RequestId, fingerprint: Fingerprint): Verdict {
        val command = ControlCommand.ClaimKey(key, id.text, fingerprint.hex, System.currentTimeMillis())
        return when (val reply = control.submit(command)) {
            is SubmitReply.Committed -> toVerdict(reply.outcome)
            is SubmitReply.NotLeader -> Verdict.Unavailable("no control instance leads")
            is SubmitReply.Refused -> Verdict.Unavailable(reply.reason)
            SubmitReply.Unknown -> {
                release(key, id)
                Verdict.Unavailable("the claim was not answered")
            }
        }
    }

    /** Stores the answer to the request of [key]. */
    fun complete(key: IdempotencyKey, id: RequestId, answer: ServiceClient.ServiceAnswer) {
        val text = if (answer.body.size <= MAX_STORED_BYTES) answer.body.toString(Charsets.UTF_8) else null
        val stored = StoredAnswer(answer.statusCode, answer.headers["Content-Type"].orEmpty(), text)
        submitLogged(ControlCommand.CompleteClaim(key, id.text, stored), id)
    }

    /**
     * Gives [key] back: its request has certainly not run.
     *
     * This goes on behind the answer to the caller, until the control state takes it or the time is up; meanwhile the
     * key stays claimed, so a resend can be told only that another attempt has it.
     */
    fun release(key: IdempotencyKey, id: RequestId) {
        if (!releases.offer(ControlCommand.ReleaseClaim(key, id.text))) {
            log.warn("claim_not_released") {
                field("request", id)
            }
        }
    }

    override fun close() = releases.close()

    private fun releaseNow(command: ControlCommand.ReleaseClaim) {
        val endMillis = MonotonicClock.nowMillis() + RELEASE_MILLIS
        while (MonotonicClock.nowMillis() < endMillis) {
            if (control.submit(command) is SubmitReply.Committed) return
        }
        log.warn("claim_not_released") { field("request", command.attemptId) }
    }

    private fun toVerdict(outcome: ControlOutcome): Verdict = when (outcome) {
        ControlOutcome.Claimed -> Verdict.Run
        is ControlOutcome.AlreadyAnswered -> Verdict.Replay(outcome.answer)
        is ControlOutcome.ClaimHeld -> Verdict.Held
        ControlOutcome.KeyReused -> Verdict.Reused
        ControlOutcome.ClaimsFull -> Verdict.Unavailable("no more idempotency keys can be kept")
        else -> error("a claim came to $outcome")
    }

    private fun submitLogged(command: ControlCommand, id: RequestId) {
        val reply = control.submit(command)
        if (reply is SubmitReply.Committed) return
        log.warn("claim_not_updated") {
            field("request", id)
            field("reply", reply)
        }
    }

    private companion object {
        const val MAX_STORED_BYTES = 16_384
        const val RING_RELEASES = 1_024
        const val RELEASE_MILLIS = 120_000L
        val log = EventLog.fromName("idempotency")
    }
}
