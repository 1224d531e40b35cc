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

/** Waiting work: how it comes into the queues and out of them. */
internal object Queues {
    /** Returns the state with [work] waiting. */
    fun add(state: ServingState, work: PendingWork): ServingState {
        val queue = queueOf(state, work.spec.pool, work.spec.priority)
        val extended =
            if (work.attempt == 1) {
                queue.copy(fresh = queue.fresh.put(work.spec.id, work))
            } else {
                queue.copy(repeated = byDeadline(queue, work))
            }
        val counted = extended.copy(queued = queue.queued + time(state, work))
        return withQueue(state, work.spec.pool, work.spec.priority, counted).countCaller(work.spec.caller, 1)
    }

    /** Returns the state without [work]. */
    fun remove(state: ServingState, work: PendingWork): ServingState {
        val queue = queueOf(state, work.spec.pool, work.spec.priority)
        val shortened =
            queue.copy(
                fresh = queue.fresh.remove(work.spec.id),
                repeated = queue.repeated.remove(work.spec.id),
                queued = if (queue.size == 1) UpstreamTime.NONE else queue.queued - time(state, work),
            )
        return withQueue(state, work.spec.pool, work.spec.priority, shortened).countCaller(work.spec.caller, -1)
    }

    /**
     * Returns the work that may be sent next at [nowMillis], in the order in which to try it.
     *
     * A suspect may wait long for an engine that takes it, so the first work that is none follows it.
     */
    fun heads(queue: ClassQueue, nowMillis: Long): List<PendingWork> {
        val due = queue.repeated.values.filter { it.notBeforeMillis <= nowMillis }
        val inOrder = due + listOfNotNull(queue.fresh.values.firstOrNull())
        val first = inOrder.firstOrNull() ?: return emptyList()
        return listOfNotNull(first, inOrder.firstOrNull { first.isSuspect && !it.isSuspect })
    }

    fun queueOf(state: ServingState, pool: PoolName, priority: PriorityClass): ClassQueue =
        state.pools[pool]?.queues?.get(priority.name) ?: ClassQueue.EMPTY

    fun withQueue(state: ServingState, pool: PoolName, priority: PriorityClass, queue: ClassQueue): ServingState {
        val current = state.pools[pool] ?: return state
        val queues = current.queues.put(priority.name, queue)
        return state.copy(pools = state.pools.put(pool, current.copy(queues = queues)))
    }

    /** The upstream time that [work] takes, in milliseconds. */
    fun cost(state: ServingState, work: PendingWork): Double = time(state, work).totalMillis

    private fun time(state: ServingState, work: PendingWork): UpstreamTime {
        val pool = state.pools[work.spec.pool] ?: return UpstreamTime.NONE
        return WorkCost.upstreamTime(pool.declaration, work.spec)
    }

    private fun byDeadline(queue: ClassQueue, work: PendingWork) = (queue.repeated.values + work)
        .sortedBy { it.spec.deadlineMillis }
        .associateBy { it.spec.id }
        .toPersistentMap()

    private fun ServingState.countCaller(caller: CallerId, change: Int): ServingState {
        val count = (callerWaiting[caller] ?: 0) + change
        val counts = if (count <= 0) callerWaiting.remove(caller) else callerWaiting.put(caller, count)
        return copy(callerWaiting = if (counts.isEmpty()) persistentMapOf() else counts)
    }
}
