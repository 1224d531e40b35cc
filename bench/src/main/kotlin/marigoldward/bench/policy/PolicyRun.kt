package marigoldward.bench.policy

import marigoldward.core.config.PlannerSettings
import marigoldward.core.model.DataCentre
import marigoldward.core.model.EngineRole
import marigoldward.core.model.InstanceId
import marigoldward.core.model.UpstreamId
import marigoldward.core.planning.DemandSample
import marigoldward.core.planning.PlannedEngine
import marigoldward.core.planning.PlannerState
import marigoldward.core.planning.RolePlanner
import marigoldward.core.planning.UncachedShare
import marigoldward.core.serving.UpstreamInfo

/** Simulates one workload under one policy in virtual time. */
internal class PolicyRun(private val workload: Workload, private val policy: Policy, private val seed: Long) {
    private val clock = VirtualClock()
    private val engines = createEngines()
    private val entries = createEntries()
    private val requests = ArrayList<SimulatedRequest>()
    private val samples = ArrayList<RoleSample>()
    private var uncachedShares = emptyMap<Int, UncachedShare>()
    private var demandByRank = emptyMap<Int, DemandSample>()
    private var plannerState = PlannerState.EMPTY
    private var roleChanges = 0

    /** Runs the simulation to its end; may be called once. */
    fun run(): PolicyResult {
        workload.arrivals(seed).forEachIndexed { number, spec ->
            val request = SimulatedRequest(spec, spec.arrivedMillis.toDouble())
            requests.add(request)
            clock.schedule(spec.arrivedMillis.toDouble()) { arrive(request, entries[number % entries.size]) }
        }
        entries.forEachIndexed { number, entry ->
            clock.schedule(number * REPORT_OFFSET_MILLIS) {
                clock.scheduleEvery(REPORT_PERIOD_MILLIS, entry::collectReports)
            }
            clock.scheduleEvery(TICK_PERIOD_MILLIS, entry::onTick)
        }
        clock.scheduleEvery(PLAN_PERIOD_MILLIS, ::planRoles)
        clock.runUntil(workload.durationMillis + DRAIN_MILLIS)
        return PolicyResult(policy, workload, requests, roleChanges, samples)
    }

    private fun arrive(request: SimulatedRequest, entry: PolicyEntry) {
        val spec = request.spec
        val rank = spec.priority.rank
        val previous = demandByRank[rank] ?: DemandSample(rank, 0, 0, PLAN_PERIOD_MILLIS.toLong())
        val updated =
            previous.copy(
                prefillTokens = previous.prefillTokens + uncachedShare(rank).expectedPrefillTokens(spec.promptTokens),
                decodeTokens = previous.decodeTokens + spec.outputTokens,
            )
        demandByRank = demandByRank + (rank to updated)
        entry.onRequest(request)
    }

    private fun planRoles() {
        samples.add(
            RoleSample(
                clock.nowWholeMillis,
                engines.count { it.role == EngineRole.PREFILL },
                plannerState.totalDemand.prefill,
                plannerState.totalDemand.decode,
            ),
        )
        plannerState =
            RolePlanner.observe(plannerState, workload.pool, demandByRank.values.toList(), PLAN_PERIOD_MILLIS.toLong())
        demandByRank = emptyMap()
        when (policy) {
            Policy.MARIGOLDWARD -> changeRoleByPlanner(workload.configuration.planner)
            Policy.CHANGE_AT_ONCE -> changeRolesAtOnce()
            Policy.NO_ROLE_CHANGES, Policy.ROUND_ROBIN, Policy.LEAST_REPORTED -> Unit
        }
    }

    private fun changeRoleByPlanner(settings: PlannerSettings) {
        val plannedEngines = engines.map { PlannedEngine(it.info.id, it.role, it.isStable, it.openRequests) }
        val decision = RolePlanner.decide(plannerState, workload.pool, settings, plannedEngines, clock.nowWholeMillis)
        plannerState = decision.state
        val change = decision.change ?: return
        changeRole(engines.first { it.info.id == change.engine }, change.role)
    }

    /** Changes as many engines as needed for the split between prefill and decode to match the recent demand. */
    private fun changeRolesAtOnce() {
        val demand = plannerState.totalDemand
        if (demand.total <= 0.0) return
        val desired = Math.round(engines.size * demand.prefill / demand.total).toInt().coerceIn(1, engines.size - 1)
        val targetCount = engines.count { it.targetRole == EngineRole.PREFILL }
        val changeable = engines.filter { it.isStable }
        if (desired > targetCount) {
            changeable.filter { it.role == EngineRole.DECODE }
                .take(desired - targetCount)
                .forEach { changeRole(it, EngineRole.PREFILL) }
        } else {
            changeable.filter { it.role == EngineRole.PREFILL }
                .take(targetCount - desired)
                .forEach { changeRole(it, EngineRole.DECODE) }
        }
    }

    private fun changeRole(engine: SimulatedEngine, role: EngineRole) {
        roleChanges++
        engine.changeRole(role)
    }

    private fun createEngines(): List<SimulatedEngine> =
        (1..workload.prefillEngines + workload.decodeEngines).map { number ->
            val id = UpstreamId.parse("${workload.pool.name}-$number")
            val info = UpstreamInfo(id, workload.pool.name, DATA_CENTRE, "127.0.0.1:1", isLeaving = false)
            val role = if (number <= workload.prefillEngines) EngineRole.PREFILL else EngineRole.DECODE
            SimulatedEngine(info, workload.pool, role, clock, isOrderedByRank = policy.usesServingDecisions)
        }

    private fun createEntries(): List<PolicyEntry> {
        val names = (1..workload.entries).map { InstanceId.parse("entry-$it") }
        return names.mapIndexed { number, name ->
            if (policy.usesServingDecisions) {
                PolicyEntry.ServingEntry(name, names, workload, engines, clock, ::recordDispatch, seed + number)
            } else {
                PolicyEntry.ForwardingEntry(engines, isRoundRobin = policy == Policy.ROUND_ROBIN, clock)
            }
        }
    }

    private fun recordDispatch(request: SimulatedRequest, prefillTokens: Long) {
        val rank = request.spec.priority.rank
        uncachedShares =
            uncachedShares + (rank to uncachedShare(rank).observed(request.spec.promptTokens, prefillTokens))
    }

    private fun uncachedShare(rank: Int): UncachedShare = uncachedShares[rank] ?: UncachedShare.NOTHING_CACHED

    private companion object {
        const val REPORT_PERIOD_MILLIS = 100.0

        /** The offset between the reports of successive entries, so that they do not read reports at the same time. */
        const val REPORT_OFFSET_MILLIS = 37.0
        const val TICK_PERIOD_MILLIS = 10.0
        const val PLAN_PERIOD_MILLIS = 1_000.0

        /** The time after the last phase in which requests can still end. */
        const val DRAIN_MILLIS = 60_000.0
        val DATA_CENTRE = DataCentre.parse("dc")
    }
}
