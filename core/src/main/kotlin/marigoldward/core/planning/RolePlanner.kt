package marigoldward.core.planning

import marigoldward.core.config.PlannerSettings
import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.EngineRole

/**
 * Decides when an engine changes between prefill and decode, as a pure function.
 *
 * One engine of a pool changes at a time, not before the minimum dwell since the last change, and only if what the
 * change brings while the mix is expected to stay is worth more than the time that the engine is away. A fast average
 * of the demand says what is needed now; a slow one must not say the opposite, so a short swing changes nothing.
 */
public object RolePlanner {
    private const val MILLIS_PER_SECOND = 1_000.0
    private const val TARGET_UTILISATION = 0.8
    private const val WORTH = 2.5
    private const val POOL_WITH_SPARES = 5
    private const val NEXT_CLASS_WEIGHT = 0.7
    private const val AWAY_ALLOWANCE_MILLIS = 2_000L
    private const val EXPECTED_STAY_MILLIS = 60_000L

    /** Returns [plan] after its classes demanded [samples] of [pool]; a class that is not in it asked nothing. */
    public fun observe(
        plan: PoolPlan,
        pool: UpstreamPool,
        samples: List<DemandSample>,
        intervalMillis: Long,
    ): PoolPlan {
        val byRank = samples.associateBy { it.rank }
        val demand = (plan.demand.keys + byRank.keys).fold(plan.demand) { demand, rank ->
            val before = demand[rank] ?: ClassDemand.NONE
            demand.put(rank, observed(before, pool, byRank[rank], intervalMillis))
        }
        return plan.copy(demand = demand)
    }

    private fun observed(
        before: ClassDemand,
        pool: UpstreamPool,
        sample: DemandSample?,
        intervalMillis: Long,
    ): ClassDemand {
        val seconds = intervalMillis / MILLIS_PER_SECOND
        val prefill = (sample?.prefillTokens ?: 0) / seconds / pool.prefillTokensPerSecond
        val decode = (sample?.decodeTokens ?: 0) / seconds / pool.decodeTokensPerSecond
        return before.observed(prefill, decode, intervalMillis)
    }

    /** Decides about [pool], whose [engines] all take the orders of one authority. */
    public fun decide(
        plan: PoolPlan,
        pool: UpstreamPool,
        settings: PlannerSettings,
        engines: List<PlannedEngine>,
        nowMillis: Long,
    ): PlanDecision {
        val isDwelling = plan.lastChangeMillis?.let { nowMillis - it < settings.minRoleChangeIntervalMillis } ?: false
        if (!settings.isEnabled || isDwelling || engines.any { !it.isStable }) return PlanDecision(plan, null)
        val split = RoleSplit(
            engines.count { it.role == EngineRole.PREFILL },
            engines.count {
                it.role ==
                    EngineRole.DECODE
            },
        )
        val change = listOf(EngineRole.PREFILL, EngineRole.DECODE)
            .mapNotNull { changeTo(it, split, plan, pool, engines) }
            .maxByOrNull { it.gain }
        val decided = if (change == null) plan else plan.copy(lastChangeMillis = nowMillis)
        return PlanDecision(decided, change)
    }

    /** How many engines have each role. */
    private data class RoleSplit(val prefill: Int, val decode: Int) {
        val smallest: Int get() = minOf(prefill, decode)

        fun movedTo(role: EngineRole): RoleSplit =
            if (role == EngineRole.PREFILL) RoleSplit(prefill + 1, decode - 1) else RoleSplit(prefill - 1, decode + 1)
    }

    /** A role is not left to a single engine, whose loss would stop the pool, unless the pool is very small. */
    private fun leastOf(engines: Int): Int = if (engines >= POOL_WITH_SPARES) 2 else 1

    private fun changeTo(
        role: EngineRole,
        split: RoleSplit,
        plan: PoolPlan,
        pool: UpstreamPool,
        engines: List<PlannedEngine>,
    ): RoleChange? {
        val moved = split.movedTo(role)
        if (moved.smallest < minOf(split.smallest, leastOf(engines.size))) return null
        val gainNow = served(plan, moved, ClassDemand::fast) - served(plan, split, ClassDemand::fast)
        val gainLong = served(plan, moved, ClassDemand::slow) - served(plan, split, ClassDemand::slow)
        val costSeconds = (pool.roleChangeMillis + AWAY_ALLOWANCE_MILLIS) / MILLIS_PER_SECOND
        val gain = gainNow * EXPECTED_STAY_MILLIS / MILLIS_PER_SECOND
        if (gain <= WORTH * costSeconds || gainLong < 0) return null
        val donor = engines.filter { it.role != role && it.role != EngineRole.MIXED }.minByOrNull { it.streams }
        return donor?.let { RoleChange(it.id, role, gain) }
    }

    /**
     * The worth of the demand that [split] serves without long queues, in engine-seconds a second.
     *
     * Classes are served by rank, each from what those before it leave, and count the more the higher they are: so a
     * flood of a low class never draws engines away from the classes above it.
     */
    private fun served(plan: PoolPlan, split: RoleSplit, average: (ClassDemand) -> DemandAverage): Double {
        var prefillLeft = split.prefill * TARGET_UTILISATION
        var decodeLeft = split.decode * TARGET_UTILISATION
        var worth = 0.0
        var weight = 1.0
        plan.demand.keys.sorted().forEach { rank ->
            val demand = average(plan.demand.getValue(rank))
            val part = minOf(1.0, part(prefillLeft, demand.prefill), part(decodeLeft, demand.decode))
            prefillLeft -= part * demand.prefill
            decodeLeft -= part * demand.decode
            worth += weight * part * demand.total
            weight *= NEXT_CLASS_WEIGHT
        }
        return worth
    }

    private fun part(left: Double, demand: Double): Double = if (demand <= 0.0) 1.0 else maxOf(0.0, left) / demand
}
