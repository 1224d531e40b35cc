package marigoldward.core.serving.internal

import marigoldward.core.config.PriorityClass
import marigoldward.core.model.PoolName
import marigoldward.core.serving.ClassQueue
import marigoldward.core.serving.InFlightAttempt
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.Route
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.ServingStep
import marigoldward.core.serving.withActions
import marigoldward.core.serving.withoutActions

/**
 * Sends waiting requests in strict priority order, except for the guaranteed shares of the classes.
 *
 * While requests of a class wait, the class earns credit from every request sent. Once the credit covers its next
 * request, that request is sent ahead of higher classes. The class earns slightly more than its guaranteed share, to
 * make up for the times in which it has no requests waiting and earns nothing.
 */
internal object Dispatching {
    private const val HUNDRED_PERCENT = 100.0
    private const val CREDIT_FACTOR = 1.1
    private const val MAX_CREDIT_MILLIS = 2_000.0

    /** Sends requests until no more waiting requests fit on the upstreams. */
    fun dispatchAll(state: ServingState, nowMillis: Long): ServingStep =
        state.pools.keys.fold(state.withoutActions()) { step, pool -> step.then { dispatchPool(it, pool, nowMillis) } }

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
        return classesInTurn(state, pool).firstNotNullOfOrNull { turn ->
            val next = queues[turn.priority.name]?.let { Queues.nextToSend(it, nowMillis) }.orEmpty()
            next.firstNotNullOfOrNull { send(state, it, turn.isPrivileged, nowMillis) }
        }
    }

    /**
     * A class that may send its next request.
     *
     * @property isPrivileged whether it is the highest class or sends on its guaranteed share
     */
    private data class Turn(val priority: PriorityClass, val isPrivileged: Boolean)

    /** Returns the classes in the order in which they may send: those with enough credit first, each group by rank. */
    private fun classesInTurn(state: ServingState, pool: PoolName): List<Turn> {
        val classes = state.configuration.classes
        val classesWithCredit = classes.filter { hasCredit(state, Queues.queueOf(state, pool, it)) }
        val others = classes - classesWithCredit.toSet()
        return classesWithCredit.map { Turn(it, isPrivileged = true) } + others.map { Turn(it, it === classes.first()) }
    }

    private fun hasCredit(state: ServingState, queue: ClassQueue): Boolean {
        val nextWork = queue.retries.values.firstOrNull() ?: queue.firstAttempts.values.firstOrNull() ?: return false
        return queue.creditMillis > 0 && queue.creditMillis >= Queues.costMillis(state, nextWork)
    }

    private fun send(state: ServingState, work: PendingWork, isPrivileged: Boolean, nowMillis: Long): ServingStep? {
        val choice = Routing.chooseOrNull(state, work, isPrivileged, nowMillis) ?: return null
        val attempt = InFlightAttempt(work, choice.route, nowMillis, choice.prefillTokens, isPrefilled = false)
        val unqueued = Queues.remove(state.copy(randomState = choice.randomState), work)
        val credited = settleCredit(unqueued, work)
        val started = recordCachedPieces(Attempts.start(credited, attempt), attempt)
        val dispatch =
            ServingAction.Dispatch(
                id = work.spec.id,
                attempt = work.attempt,
                route = choice.route,
                deliveredTokens = work.deliveredTokens,
                prefillTokens = choice.prefillTokens,
                isSuspect = work.isSuspect,
            )
        return started.withActions(dispatch)
    }

    /** Deducts the cost of [work] from the credit of its class, and credits each waiting class with its share of it. */
    private fun settleCredit(state: ServingState, work: PendingWork): ServingState {
        val costMillis = Queues.costMillis(state, work)
        return state.configuration.classes.fold(state) { current, priority ->
            val queue = Queues.queueOf(current, work.spec.pool, priority)
            val earned = if (queue.size > 0) {
                costMillis * CREDIT_FACTOR * priority.guaranteedSharePercent / HUNDRED_PERCENT
            } else {
                0.0
            }
            val spent = if (priority.name == work.spec.priority.name) costMillis else 0.0
            val credit = (queue.creditMillis + earned - spent).coerceIn(0.0, maxCredit(costMillis))
            Queues.withQueue(current, work.spec.pool, priority, queue.copy(creditMillis = credit))
        }
    }

    private fun maxCredit(costMillis: Double): Double = maxOf(MAX_CREDIT_MILLIS, costMillis)

    private fun recordCachedPieces(state: ServingState, attempt: InFlightAttempt): ServingState {
        val prefillUpstream = when (val route = attempt.route) {
            is Route.Single -> route.upstream
            is Route.Split -> route.prefill
        }
        return state.updateUpstream(prefillUpstream) {
            it.copy(cachedPieceHashes = UpstreamUpdates.addPieces(it.cachedPieceHashes, attempt.work.spec.pieceHashes))
        }
    }
}
