package marigoldward.core.planning

import marigoldward.core.config.PlannerSettings
import marigoldward.core.config.UpstreamPool
import marigoldward.core.model.EngineRole

/**
 * Decides when an engine changes between the prefill and the decode role, as a pure function.
 *
 * One engine of a pool changes at a time, not before the minimum dwell time since the last change has passed, and only
 * if the gain while the demand is expected to last clearly exceeds the cost of taking the engine out of service. The
 * gain is computed from the fast average of the demand; the slow average must not show a loss, so that short swings
 * cause no changes.
 */
public object RolePlanner {
    private const val MILLIS_PER_SECOND = 1_000.0
    private const val TARGET_UTILISATION = 0.8
    private const val MIN_GAIN_PER_COST = 2.5
    private const val MIN_ENGINES_FOR_TWO_PER_ROLE = 5
    private const val NEXT_CLASS_WEIGHT_FACTOR = 0.7
    private const val EXTRA_OUT_OF_SERVICE_MILLIS = 2_000L
    private const val EXPECTED_DEMAND_DURATION_MILLIS = 60_000L

    /**
     * Returns the state after an interval with the demand [samples] for [pool].
     *
     * A class without a sample had no demand in the interval.
     */
    public fun observe(
        state: PlannerState,
        pool: UpstreamPool,
        samples: List<DemandSample>,
        intervalMillis: Long,
    ): PlannerState {
        val byRank = samples.associateBy { it.rank }
        val demand = (state.demand.keys + byRank.keys).fold(state.demand) { demand, rank ->
            val previous = demand[rank] ?: ClassDemand.NONE
            demand.put(rank, observed(previous, pool, byRank[rank], intervalMillis))
        }
        return state.copy(demand = demand)
    }

    private fun observed(
        previous: ClassDemand,
        pool: UpstreamPool,
        sample: DemandSample?,
        intervalMillis: Long,
    ): ClassDemand {
        val seconds = intervalMillis / MILLIS_PER_SECOND
        val prefill = (sample?.prefillTokens ?: 0) / seconds / pool.prefillTokensPerSecond
        val decode = (sample?.decodeTokens ?: 0) / seconds / pool.decodeTokensPerSecond
        return previous.observed(prefill, decode, intervalMillis)
    }

    /**
     * Decides whether one of the [engines] of [pool] changes its role.
     *
     * Nothing changes while the planner is disabled, during the dwell time, or while an engine is not stable. All
     * [engines] take their role commands from the same authority.
     */
    public fun decide(
        state: PlannerState,
        pool: UpstreamPool,
        settings: PlannerSettings,
        engines: List<PlannedEngine>,
        nowMillis: Long,
    ): PlanDecision {
        val isTooSoon = state.lastChangeMillis?.let { nowMillis - it < settings.minRoleChangeIntervalMillis } ?: false
        if (!settings.isEnabled || isTooSoon || engines.any { !it.isStable }) return PlanDecision(state, null)
        val split = RoleSplit(
            engines.count { it.role == EngineRole.PREFILL },
            engines.count { it.role == EngineRole.DECODE },
        )
        val change = listOf(EngineRole.PREFILL, EngineRole.DECODE)
            .mapNotNull { changeToOrNull(it, split, state, pool, engines) }
            .maxByOrNull { it.gainEngineSeconds }
        val nextState = if (change == null) state else state.copy(lastChangeMillis = nowMillis)
        return PlanDecision(nextState, change)
    }

    /** The number of engines in each role. */
    private data class RoleSplit(val prefill: Int, val decode: Int) {
        val smallestRole: Int get() = minOf(prefill, decode)

        fun movedTo(role: EngineRole): RoleSplit =
            if (role == EngineRole.PREFILL) RoleSplit(prefill + 1, decode - 1) else RoleSplit(prefill - 1, decode + 1)
    }

    /**
     * Returns how many of [engines] engines each role keeps at least.
     *
     * The loss of the only engine in a role would stop the pool, so a role keeps two unless the pool is very small.
     */
    private fun minEnginesPerRole(engines: Int): Int = if (engines >= MIN_ENGINES_FOR_TWO_PER_ROLE) 2 else 1

    private fun changeToOrNull(
        role: EngineRole,
        split: RoleSplit,
        state: PlannerState,
        pool: UpstreamPool,
        engines: List<PlannedEngine>,
    ): RoleChange? {
        val moved = split.movedTo(role)
        if (moved.smallestRole < minOf(split.smallestRole, minEnginesPerRole(engines.size))) return null
        val fastGain = servedDemand(state, moved, ClassDemand::fast) - servedDemand(state, split, ClassDemand::fast)
        val slowGain = servedDemand(state, moved, ClassDemand::slow) - servedDemand(state, split, ClassDemand::slow)
        val costSeconds = (pool.roleChangeMillis + EXTRA_OUT_OF_SERVICE_MILLIS) / MILLIS_PER_SECOND
        val gainEngineSeconds = fastGain * EXPECTED_DEMAND_DURATION_MILLIS / MILLIS_PER_SECOND
        if (gainEngineSeconds <= MIN_GAIN_PER_COST * costSeconds || slowGain < 0) return null
        val leastBusy = engines.filter { it.role != role && it.role != EngineRole.MIXED }.minByOrNull { it.streams }
        return leastBusy?.let { RoleChange(it.id, role, gainEngineSeconds) }
    }

    /**
     * Returns the weighted demand that [split] serves without long queues, in engine-seconds per second.
     *
     * Classes are served by rank, each with the capacity left by the classes above it, and higher classes have more
     * weight. So a flood of requests of a low class never takes engines away from the classes above it.
     */
    private fun servedDemand(state: PlannerState, split: RoleSplit, average: (ClassDemand) -> DemandAverage): Double {
        var prefillCapacity = split.prefill * TARGET_UTILISATION
        var decodeCapacity = split.decode * TARGET_UTILISATION
        var weighted = 0.0
        var weight = 1.0
        state.demand.keys.sorted().forEach { rank ->
            val demand = average(state.demand.getValue(rank))
            val share = minOf(
                1.0,
                servableShare(prefillCapacity, demand.prefill),
                servableShare(decodeCapacity, demand.decode),
            )
            prefillCapacity -= share * demand.prefill
            decodeCapacity -= share * demand.decode
            weighted += weight * share * demand.total
            weight *= NEXT_CLASS_WEIGHT_FACTOR
        }
        return weighted
    }

    private fun servableShare(capacity: Double, demand: Double): Double =
        if (demand <= 0.0) 1.0 else maxOf(0.0, capacity) / demand
}
