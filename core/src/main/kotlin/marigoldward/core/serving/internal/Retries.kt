package marigoldward.core.serving.internal

import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.RetryBudget
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.ServingStep
import marigoldward.core.serving.withActions
import marigoldward.core.serving.withoutActions

/** Decides whether and when a failed attempt is followed by another. */
internal object Retries {
    private const val MAX_ATTEMPTS = 4
    private const val BASE_BACKOFF_MILLIS = 20
    private const val MAX_BACKOFF_DOUBLINGS = 5
    private const val RETRY_AFTER_MILLIS = 1_000L

    fun addToBudget(state: ServingState, spec: RequestSpec, percent: Int): ServingState {
        val budget = budgetOf(state, spec).afterFirstAttempt(percent)
        return state.copy(retryBudgets = state.retryBudgets.put(spec.priority.name, budget))
    }

    /** Queues [failed] for another attempt after a random backoff, or refuses it if none is permitted. */
    fun retryOrRefuse(state: ServingState, failed: PendingWork, nowMillis: Long): ServingStep {
        val spec = failed.spec
        val refusal = refusalOrNull(state, failed, nowMillis)
        if (refusal != null) return state.withActions(ServingAction.Refuse(spec.id, refusal, failed.mayHaveRun))
        val drawn = draw(state.randomState, backoffLimitMillis(failed.attempt))
        val next = failed.copy(attempt = failed.attempt + 1, notBeforeMillis = nowMillis + drawn.value)
        val budgets = state.retryBudgets.put(spec.priority.name, budgetOf(state, spec).afterRetry())
        return Queues.add(state.copy(retryBudgets = budgets, randomState = drawn.nextState), next).withoutActions()
    }

    /**
     * Queues [declined] for another attempt after a random backoff.
     *
     * Its upstream did not take it, so this is not a retry and is not charged to the retry budget.
     */
    fun queueDeclined(state: ServingState, declined: PendingWork, nowMillis: Long): ServingStep {
        val drawn = draw(state.randomState, backoffLimitMillis(0))
        val next = declined.copy(attempt = declined.attempt + 1, notBeforeMillis = nowMillis + drawn.value)
        return Queues.add(state.copy(randomState = drawn.nextState), next).withoutActions()
    }

    private fun refusalOrNull(state: ServingState, failed: PendingWork, nowMillis: Long): Refusal? = when {
        failed.mayHaveRun && !failed.spec.isRepeatable -> Refusal.UpstreamFailed
        nowMillis >= failed.spec.deadlineMillis -> Refusal.Expired(RETRY_AFTER_MILLIS)
        failed.attempt >= MAX_ATTEMPTS -> Refusal.UpstreamFailed
        !budgetOf(state, failed.spec).hasToken -> Refusal.RetryBudgetSpent(RETRY_AFTER_MILLIS)
        else -> null
    }

    private fun backoffLimitMillis(attempt: Int): Int = BASE_BACKOFF_MILLIS shl minOf(attempt, MAX_BACKOFF_DOUBLINGS)

    private fun budgetOf(state: ServingState, spec: RequestSpec): RetryBudget =
        state.retryBudgets[spec.priority.name] ?: RetryBudget.INITIAL
}
