package marigoldward.core.serving.internal

import marigoldward.core.config.PriorityClass
import marigoldward.core.model.PoolName
import marigoldward.core.serving.ClassQueue
import marigoldward.core.serving.InFlight
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.ServingStep
import marigoldward.core.serving.unchanged
import marigoldward.core.serving.with

/**
 * The order in which waiting work is sent.
 *
 * Strict priority, but for the guaranteed shares: while a class waits it earns credit from all work that is sent,
 * and once that pays for its next request, the request goes before higher classes. It earns a little more than its
 * share, since nothing is earned while it has no work waiting.
 */
internal object Dispatching {
    private const val HUNDRED_PERCENT = 100.0
    private const val EARNED_PART = 1.1
    private const val MAX_CREDIT_MILLIS = 2_000.0

    /** Sends all work that has room. */
    fun dispatchAll(state: ServingState, nowMillis: Long): ServingStep =
        state.pools.keys.fold(state.unchanged()) { step, pool -> step.then { dispatchPool(it, pool, nowMillis) } }

    private fun dispatchPool(state: ServingState, pool: PoolName, nowMillis: Long): ServingStep {
        var current = state
        val actions = ArrayList<ServingAction>()
        while (true) {
            val step = dispatchOne(current, pool, nowMillis) ?: break
            current = step.state
            actions.addAll(step.actions)
        }
        return ServingStep(current, actions)
    }

    private fun dispatchOne(state: ServingState, pool: PoolName, nowMillis: Long): ServingStep? {
        val queues = state.pools.getValue(pool).queues
        if (queues.values.all { it.size == 0 }) return null
        return order(state, pool).firstNotNullOfOrNull { turn ->
            val heads = queues[turn.priority.name]?.let { Queues.heads(it, nowMillis) }.orEmpty()
            heads.firstNotNullOfOrNull { send(state, it, turn.isPrivileged, nowMillis) }
        }
    }

    /** A class whose turn it may be. */
    private data class Turn(val priority: PriorityClass, val isPrivileged: Boolean)

    /** The classes in the order in which they may send: those with credit, then by rank. */
    private fun order(state: ServingState, pool: PoolName): List<Turn> {
        val classes = state.configuration.classes
        val withCredit = classes.filter { hasCredit(state, Queues.queueOf(state, pool, it)) }
        val others = classes - withCredit.toSet()
        return withCredit.map { Turn(it, isPrivileged = true) } + others.map { Turn(it, it === classes.first()) }
    }

    private fun hasCredit(state: ServingState, queue: ClassQueue): Boolean {
        val head = queue.repeated.values.firstOrNull() ?: queue.fresh.values.firstOrNull() ?: return false
        return queue.creditMillis > 0 && queue.creditMillis >= Queues.cost(state, head)
    }

    private fun send(state: ServingState, work: PendingWork, isPrivileged: Boolean, nowMillis: Long): ServingStep? {
        val choice = Routing.chooseOrNull(state, work, isPrivileged, nowMillis) ?: return null
        val attempt = InFlight(work, choice.route, nowMillis, choice.prefillTokens, isPrefilled = false)
        val unqueued = Queues.remove(state.copy(random = choice.random), work)
        val credited = moveCredit(unqueued, work)
        val started = rememberPieces(Attempts.start(credited, attempt), attempt)
        val dispatch =
            ServingAction.Dispatch(
                id = work.spec.id,
                attempt = work.attempt,
                route = choice.route,
                deliveredTokens = work.deliveredTokens,
                prefillTokens = choice.prefillTokens,
                isSuspect = work.isSuspect,
            )
        return started.with(dispatch)
    }

    /** Takes the cost from the class that sends and gives each waiting class its share of it. */
    private fun moveCredit(state: ServingState, work: PendingWork): ServingState {
        val costMillis = Queues.cost(state, work)
        return state.configuration.classes.fold(state) { current, priority ->
            val queue = Queues.queueOf(current, work.spec.pool, priority)
            val earned = if (queue.size >
                0
            ) {
                costMillis * EARNED_PART * priority.guaranteedSharePercent / HUNDRED_PERCENT
            } else {
                0.0
            }
            val spent = if (priority.name == work.spec.priority.name) costMillis else 0.0
            val credit = (queue.creditMillis + earned - spent).coerceIn(0.0, maxCredit(costMillis))
            Queues.withQueue(current, work.spec.pool, priority, queue.copy(creditMillis = credit))
        }
    }

    private fun maxCredit(costMillis: Double): Double = maxOf(MAX_CREDIT_MILLIS, costMillis)

    private fun rememberPieces(state: ServingState, attempt: InFlight): ServingState {
        val reader = when (val route = attempt.route) {
            is Route.Whole -> route.upstream
            is Route.Split -> route.prefill
        }
        return state.updateUpstream(reader) {
            it.copy(cachedPieces = UpstreamUpdates.withPieces(it.cachedPieces, attempt.work.spec.pieces))
        }
    }
}
