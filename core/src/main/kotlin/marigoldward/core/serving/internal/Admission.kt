package marigoldward.core.serving.internal

import marigoldward.core.model.EngineRole
import marigoldward.core.model.RequestId
import marigoldward.core.model.UpstreamKind
import marigoldward.core.serving.PendingWork
import marigoldward.core.serving.Refusal
import marigoldward.core.serving.RequestSpec
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.ServingStep
import marigoldward.core.serving.UpstreamTime
import marigoldward.core.serving.withActions
import marigoldward.core.serving.withoutActions

/** Admits or refuses arriving requests, and expires those that waited too long. */
internal object Admission {
    private const val MAX_QUEUED_REQUESTS = 4_096
    private const val MIN_ALLOWED_PER_CALLER = 64
    private const val MIN_RETRY_AFTER_MILLIS = 1_000L
    private const val TOP_CLASS_IDLE_MILLIS = 30_000L

    fun admit(state: ServingState, spec: RequestSpec, nowMillis: Long): ServingStep {
        val refusal = refusalOrNull(state, spec, nowMillis)
        if (refusal != null) return state.withActions(ServingAction.Refuse(spec.id, refusal, mayHaveRun = false))
        val percent = state.configuration.limits.retryBudgetPercent
        val work = PendingWork.fromArrival(spec, state.crashCounts[spec.fingerprint] ?: 0)
        val admitted = Queues.add(recordTopClassArrival(state, spec, nowMillis), work)
        return Retries.addToBudget(admitted, spec, percent).withoutActions()
    }

    /** Removes the request [id], whose caller has disconnected, from its queue if it still waits. */
    fun removeDisconnected(state: ServingState, id: RequestId): ServingStep {
        val work = waitingWorkOrNull(state, id) ?: return state.withoutActions()
        return Queues.remove(state, work).withoutActions()
    }

    /** Refuses the requests whose waiting time is over. */
    fun expire(state: ServingState, nowMillis: Long): ServingStep {
        val queues = state.pools.values.flatMap { it.queues.values }
        val expired = queues.flatMap { queue ->
            queue.firstAttempts.values.takeWhile { isExpired(it, nowMillis) } +
                queue.retries.values.filter { isExpired(it, nowMillis) }
        }
        return expired.fold(deactivateIdleTopClass(state, nowMillis).withoutActions()) { step, work ->
            step.then { refuseExpired(it, work) }
        }
    }

    private fun recordTopClassArrival(state: ServingState, spec: RequestSpec, nowMillis: Long): ServingState {
        val pool = state.pools[spec.pool] ?: return state
        if (spec.priority.rank != state.configuration.classes.first().rank) return state
        val updated = pool.copy(isTopClassActive = true, lastTopClassArrivalMillis = nowMillis)
        return state.copy(pools = state.pools.put(spec.pool, updated))
    }

    private fun deactivateIdleTopClass(state: ServingState, nowMillis: Long): ServingState {
        val idle = state.pools.filterValues {
            it.isTopClassActive && nowMillis - it.lastTopClassArrivalMillis > TOP_CLASS_IDLE_MILLIS
        }
        val pools = idle.entries.fold(state.pools) { pools, (name, pool) ->
            pools.put(name, pool.copy(isTopClassActive = false))
        }
        return if (idle.isEmpty()) state else state.copy(pools = pools)
    }

    /**
     * Returns whether [work] may not wait any longer.
     *
     * The queue limit of the class applies to the first attempt only; later attempts may wait until the deadline.
     */
    fun isExpired(work: PendingWork, nowMillis: Long): Boolean {
        val spec = work.spec
        val isOverQueueLimit = nowMillis - spec.arrivedMillis > spec.priority.maxQueueMillis
        return nowMillis >= spec.deadlineMillis || (work.attempt == 1 && isOverQueueLimit)
    }

    private fun refuseExpired(state: ServingState, work: PendingWork): ServingStep {
        val refusal = Refusal.Expired(MIN_RETRY_AFTER_MILLIS)
        return Queues.remove(state, work).withActions(ServingAction.Refuse(work.spec.id, refusal, work.mayHaveRun))
    }

    private fun refusalOrNull(state: ServingState, spec: RequestSpec, nowMillis: Long): Refusal? {
        val pool = state.pools[spec.pool]
        val queue = Queues.queueOf(state, spec.pool, spec.priority)
        val waitMillis = expectedWaitMillis(state, spec)
        return when {
            state.isShuttingDown -> Refusal.ShuttingDown
            spec.fingerprint in state.quarantine -> Refusal.Quarantined
            pool == null || pool.members.isEmpty() -> Refusal.NoUpstream(MIN_RETRY_AFTER_MILLIS)
            isTooLarge(pool, spec) -> Refusal.TooLarge(spec.kvTokens, pool.declaration.kvCapacityTokens)
            queue.size >= MAX_QUEUED_REQUESTS -> Refusal.QueueFull(retryAfterMillis(waitMillis))
            exceedsCallerShare(state, spec) -> Refusal.CallerOverShare(retryAfterMillis(waitMillis))
            waitMillis > spec.priority.maxQueueMillis -> Refusal.TooLate(retryAfterMillis(waitMillis))
            nowMillis >= spec.deadlineMillis -> Refusal.TooLate(MIN_RETRY_AFTER_MILLIS)
            else -> null
        }
    }

    private fun isTooLarge(pool: ServingState.PoolState, spec: RequestSpec): Boolean =
        pool.declaration.kind == UpstreamKind.ENGINE && spec.kvTokens > pool.declaration.kvCapacityTokens

    /**
     * Returns whether the caller of [spec] may not queue any more requests.
     *
     * A caller may use a configured multiple of its equal share of the queue, but no more than half of it, so that one
     * caller cannot crowd out the others.
     */
    private fun exceedsCallerShare(state: ServingState, spec: RequestSpec): Boolean {
        val waiting = state.waitingByCaller[spec.caller] ?: 0
        val callerCount = state.waitingByCaller.size + if (waiting == 0) 1 else 0
        val equalShare = MAX_QUEUED_REQUESTS / callerCount
        val allowed = minOf(MAX_QUEUED_REQUESTS / 2, equalShare * state.configuration.limits.callerQueueShares)
        return waiting >= maxOf(MIN_ALLOWED_PER_CALLER, allowed)
    }

    /**
     * Returns the time until the requests ahead of [spec] have been served, in milliseconds.
     *
     * All entries share the pool, so this process gets one part in `entries.size` of its capacity.
     */
    private fun expectedWaitMillis(state: ServingState, spec: RequestSpec): Double {
        val pool = state.pools[spec.pool] ?: return 0.0
        val usable = pool.members.map(state.upstreams::getValue).filter { Candidates.isUsable(state, it) }
        val classes = state.configuration.classes.filter { it.rank <= spec.priority.rank }
        val timeAhead = classes.fold(UpstreamTime.NONE) { sum, priority ->
            sum + (pool.queues[priority.name]?.queuedTime ?: UpstreamTime.NONE)
        }
        val prefillEngines = usable.count { it.role == EngineRole.PREFILL }
        val decodeEngines = usable.count { it.role == EngineRole.DECODE }
        val waitMillis = when {
            usable.isEmpty() -> 0.0
            prefillEngines + decodeEngines < usable.size -> timeAhead.totalMillis / usable.size
            else -> maxOf(
                timeAhead.prefillMillis / maxOf(1, prefillEngines),
                timeAhead.decodeMillis / maxOf(1, decodeEngines),
            )
        }
        return waitMillis * state.entries.size
    }

    private fun retryAfterMillis(waitMillis: Double): Long = maxOf(MIN_RETRY_AFTER_MILLIS, waitMillis.toLong())

    private fun waitingWorkOrNull(state: ServingState, id: RequestId): PendingWork? = state.pools.values
        .flatMap { it.queues.values }
        .firstNotNullOfOrNull { it.firstAttempts[id] ?: it.retries[id] }
}
