package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.IdempotencyClaim

/** Claims on idempotency keys. One without a response is kept until it expires, since its request may have run. */
internal object IdempotencyClaims {
    private const val MAX_CLAIMS = 200_000
    private const val RETENTION_MILLIS = 86_400_000L
    private const val MAX_EXPIRED_PER_CLAIM = 64

    fun claim(state: ControlState, command: ControlCommand.ClaimKey): AppliedCommand {
        val current = removeExpired(state, command.nowEpochMillis)
        val existing = current.claims[command.key]
        return when {
            existing == null && current.claims.size >= MAX_CLAIMS -> AppliedCommand(current, ControlOutcome.ClaimsFull)
            existing == null -> AppliedCommand(withClaim(current, command), ControlOutcome.Claimed)
            else -> AppliedCommand(current, outcomeForExisting(existing, command))
        }
    }

    fun complete(state: ControlState, command: ControlCommand.CompleteClaim): AppliedCommand {
        val existing = state.claims[command.key]
        if (existing == null || existing.attemptId != command.attemptId) return notHeldBy(state, command.attemptId)
        val claims = state.claims.put(command.key, existing.copy(answer = command.answer))
        return AppliedCommand(state.copy(claims = claims), ControlOutcome.Done)
    }

    fun release(state: ControlState, command: ControlCommand.ReleaseClaim): AppliedCommand {
        val existing = state.claims[command.key]
        if (existing == null || existing.attemptId != command.attemptId) return notHeldBy(state, command.attemptId)
        if (existing.answer != null) return AppliedCommand(state, ControlOutcome.AlreadyAnswered(existing.answer))
        return AppliedCommand(state.copy(claims = state.claims.remove(command.key)), ControlOutcome.Done)
    }

    private fun withClaim(state: ControlState, command: ControlCommand.ClaimKey): ControlState {
        val claim = IdempotencyClaim(command.attemptId, command.requestFingerprint, command.nowEpochMillis)
        return state.copy(claims = state.claims.put(command.key, claim))
    }

    private fun outcomeForExisting(existing: IdempotencyClaim, command: ControlCommand.ClaimKey): ControlOutcome =
        when {
            existing.requestFingerprint != command.requestFingerprint -> ControlOutcome.KeyReused
            existing.answer != null -> ControlOutcome.AlreadyAnswered(existing.answer)
            existing.attemptId == command.attemptId -> ControlOutcome.Claimed
            else -> ControlOutcome.ClaimHeld(existing.attemptId)
        }

    private fun removeExpired(state: ControlState, nowEpochMillis: Long): ControlState {
        val expired =
            state.claims.entries
                .take(MAX_EXPIRED_PER_CLAIM)
                .takeWhile { nowEpochMillis - it.value.claimedAtMillis > RETENTION_MILLIS }
                .map { it.key }
        return state.copy(claims = expired.fold(state.claims) { remaining, key -> remaining.remove(key) })
    }

    private fun notHeldBy(state: ControlState, attemptId: String): AppliedCommand =
        AppliedCommand(state, ControlOutcome.Rejected("attempt \"$attemptId\" does not hold the claim"))
}
