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
import marigoldward.core.serving.unchanged
import marigoldward.core.serving.with

/** Which requests are taken, and how long they may wait. */
internal object Admission {
    private const val MAX_QUEUED_REQUESTS = 4_096
    private const val MIN_CALLER_REQUESTS = 64
    private const val MIN_RETRY_AFTER_MILLIS = 1_000L
    private const val FIRST_CLASS_MEMORY_MILLIS = 30_000L

    fun admit(state: ServingState, spec: RequestSpec, nowMillis: Long): ServingStep {
        val refusal = refusalOrNull(state, spec, nowMillis)
        if (refusal != null) return state.with(ServingAction.Refuse(spec.id, refusal, mayHaveRun = false))
        val percent = state.configuration.limits.retryBudgetPercent
        val admitted = Queues.add(noteClass(state, spec, nowMillis), PendingWork.fromArrival(spec))
        return Retries.earn(admitted, spec, percent).unchanged()
    }

    /** Takes out a request that waits; its caller is gone. */
    fun forget(state: ServingState, id: RequestId): ServingStep {
        val work = waitingOrNull(state, id) ?: return state.unchanged()
        return Queues.remove(state, work).unchanged()
    }

    /** Refuses the work that has waited as long as it may. */
    fun expire(state: ServingState, nowMillis: Long): ServingStep {
        val queues = state.pools.values.flatMap { it.queues.values }
        val expired = queues.flatMap { queue ->
            queue.fresh.values.takeWhile { isExpired(it, nowMillis) } +
                queue.repeated.values.filter { isExpired(it, nowMillis) }
        }
        return expired.fold(forgetFirstClass(state, nowMillis).unchanged()) { step, work ->
            step.then { refuseExpired(it, work) }
        }
    }

    private fun noteClass(state: ServingState, spec: RequestSpec, nowMillis: Long): ServingState {
        val pool = state.pools[spec.pool] ?: return state
        if (spec.priority.rank != state.configuration.classes.first().rank) return state
        val noted = pool.copy(isFirstClassActive = true, firstClassMillis = nowMillis)
        return state.copy(pools = state.pools.put(spec.pool, noted))
    }

    private fun forgetFirstClass(state: ServingState, nowMillis: Long): ServingState {
        val quiet = state.pools.filterValues {
            it.isFirstClassActive && nowMillis - it.firstClassMillis > FIRST_CLASS_MEMORY_MILLIS
        }
        val pools = quiet.entries.fold(state.pools) { pools, (name, pool) ->
            pools.put(name, pool.copy(isFirstClassActive = false))
        }
        return if (quiet.isEmpty()) state else state.copy(pools = pools)
    }

    /** Whether [work] may not wait any longer. Work that a caller has a part of waits until its deadline. */
    fun isExpired(work: PendingWork, nowMillis: Long): Boolean {
        val spec = work.spec
        val hasWaited = nowMillis - spec.arrivedMillis > spec.priority.maxQueueMillis
        return nowMillis >= spec.deadlineMillis || (work.attempt == 1 && hasWaited)
    }

    private fun refuseExpired(state: ServingState, work: PendingWork): ServingStep {
        val refusal = Refusal.Expired(MIN_RETRY_AFTER_MILLIS)
        return Queues.remove(state, work).with(ServingAction.Refuse(work.spec.id, refusal, work.mayHaveRun))
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
            queue.size >= MAX_QUEUED_REQUESTS -> Refusal.QueueFull(retryAfter(waitMillis))
            isOverShare(state, spec) -> Refusal.CallerOverShare(retryAfter(waitMillis))
            waitMillis > spec.priority.maxQueueMillis -> Refusal.TooLate(retryAfter(waitMillis))
            nowMillis >= spec.deadlineMillis -> Refusal.TooLate(MIN_RETRY_AFTER_MILLIS)
            else -> null
        }
    }

    private fun isTooLarge(pool: ServingState.PoolState, spec: RequestSpec): Boolean =
        pool.declaration.kind == UpstreamKind.ENGINE && spec.kvTokens > pool.declaration.kvCapacityTokens

    /** A caller may fill several times its equal part of the queue, so one caller's flood is its own. */
    private fun isOverShare(state: ServingState, spec: RequestSpec): Boolean {
        val waiting = state.callerWaiting[spec.caller] ?: 0
        val callers = state.callerWaiting.size + if (waiting == 0) 1 else 0
        val equalPart = MAX_QUEUED_REQUESTS / callers
        val allowed = minOf(MAX_QUEUED_REQUESTS / 2, equalPart * state.configuration.limits.callerQueueShares)
        return waiting >= maxOf(MIN_CALLER_REQUESTS, allowed)
    }

    /** How long the work that goes before [spec] takes this process's part of the pool, in milliseconds. */
    private fun expectedWaitMillis(state: ServingState, spec: RequestSpec): Double {
        val pool = state.pools[spec.pool] ?: return 0.0
        val usable = pool.members.map(state.upstreams::getValue).filter { Candidates.isUsable(state, it) }
        val classes = state.configuration.classes.filter { it.rank <= spec.priority.rank }
        val ahead = classes.fold(UpstreamTime.NONE) { sum, priority ->
            sum + (pool.queues[priority.name]?.queued ?: UpstreamTime.NONE)
        }
        val readers = usable.count { it.role == EngineRole.PREFILL }
        val decoders = usable.count { it.role == EngineRole.DECODE }
        val waitMillis = when {
            usable.isEmpty() -> 0.0
            readers + decoders < usable.size -> ahead.totalMillis / usable.size
            else -> maxOf(ahead.prefillMillis / maxOf(1, readers), ahead.decodeMillis / maxOf(1, decoders))
        }
        return waitMillis * state.entries.size
    }

    private fun retryAfter(waitMillis: Double): Long = maxOf(MIN_RETRY_AFTER_MILLIS, waitMillis.toLong())

    private fun waitingOrNull(state: ServingState, id: RequestId): PendingWork? = state.pools.values
        .flatMap { it.queues.values }
        .firstNotNullOfOrNull { it.fresh[id] ?: it.repeated[id] }
}
