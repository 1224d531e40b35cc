package marigoldward.core.serving.internal

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import marigoldward.core.config.PriorityClass
import marigoldward.core.model.CallerId
import marigoldward.core.model.PoolName
import marigoldward.core.serving.ClassQueue
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.UpstreamTime

/** Adds requests to the queues and removes them, and keeps the totals that depend on the queues. */
internal object Queues {
    /** Returns the state with [work] added to the queue of its class. */
    fun add(state: ServingState, work: PendingWork): ServingState {
        val queue = queueOf(state, work.spec.pool, work.spec.priority)
        val extended =
            if (work.attempt == 1) {
                queue.copy(firstAttempts = queue.firstAttempts.put(work.spec.id, work))
            } else {
                queue.copy(retries = retriesByDeadline(queue, work))
            }
        val updated = extended.copy(queuedTime = queue.queuedTime + upstreamTime(state, work))
        return withQueue(state, work.spec.pool, work.spec.priority, updated).addToCallerCount(work.spec.caller, 1)
    }

    /** Returns the state with [work] removed from the queue of its class. */
    fun remove(state: ServingState, work: PendingWork): ServingState {
        val queue = queueOf(state, work.spec.pool, work.spec.priority)
        val updated =
            queue.copy(
                firstAttempts = queue.firstAttempts.remove(work.spec.id),
                retries = queue.retries.remove(work.spec.id),
                queuedTime = if (queue.size == 1) UpstreamTime.NONE else queue.queuedTime - upstreamTime(state, work),
            )
        return withQueue(state, work.spec.pool, work.spec.priority, updated).addToCallerCount(work.spec.caller, -1)
    }

    /**
     * Returns the requests of [queue] that may be sent next at [nowMillis], in the order in which to try them.
     *
     * A suspect may wait long for an upstream that may take it; so that it holds up no others, the first request that
     * is not a suspect follows it.
     */
    fun nextToSend(queue: ClassQueue, nowMillis: Long): List<PendingWork> {
        val dueRetries = queue.retries.values.filter { it.notBeforeMillis <= nowMillis }
        val candidates = dueRetries + listOfNotNull(queue.firstAttempts.values.firstOrNull())
        val first = candidates.firstOrNull() ?: return emptyList()
        return listOfNotNull(first, candidates.firstOrNull { first.isSuspect && !it.isSuspect })
    }

    fun queueOf(state: ServingState, pool: PoolName, priority: PriorityClass): ClassQueue =
        state.pools[pool]?.queues?.get(priority.name) ?: ClassQueue.EMPTY

    fun withQueue(state: ServingState, pool: PoolName, priority: PriorityClass, queue: ClassQueue): ServingState {
        val current = state.pools[pool] ?: return state
        val queues = current.queues.put(priority.name, queue)
        return state.copy(pools = state.pools.put(pool, current.copy(queues = queues)))
    }

    /** Returns the upstream time that [work] needs, in milliseconds. */
    fun costMillis(state: ServingState, work: PendingWork): Double = upstreamTime(state, work).totalMillis

    private fun upstreamTime(state: ServingState, work: PendingWork): UpstreamTime {
        val pool = state.pools[work.spec.pool] ?: return UpstreamTime.NONE
        return WorkCost.upstreamTime(pool.declaration, work.spec)
    }

    private fun retriesByDeadline(queue: ClassQueue, work: PendingWork) = (queue.retries.values + work)
        .sortedBy { it.spec.deadlineMillis }
        .associateBy { it.spec.id }
        .toPersistentMap()

    private fun ServingState.addToCallerCount(caller: CallerId, change: Int): ServingState {
        val count = (waitingByCaller[caller] ?: 0) + change
        val counts = if (count <= 0) waitingByCaller.remove(caller) else waitingByCaller.put(caller, count)
        return copy(waitingByCaller = if (counts.isEmpty()) persistentMapOf() else counts)
    }
}
