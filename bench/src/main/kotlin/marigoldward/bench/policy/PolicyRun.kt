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

/** Runs one workload under one policy in virtual time. */
internal class PolicyRun(private val workload: Workload, private val policy: Policy, private val seed: Long) {
    private val time = VirtualTime()
    private val engines = createEngines()
    private val entries = createEntries()
    private val requests = ArrayList<ModelRequest>()
    private val samples = ArrayList<RoleSample>()
    private var cachedParts = emptyMap<Int, UncachedShare>()
    private var demanded = emptyMap<Int, DemandSample>()
    private var plan = PlannerState.EMPTY
    private var roleChanges = 0

    fun run(): PolicyResult {
        workload.arrivals(seed).forEachIndexed { number, spec ->
            val request = ModelRequest(spec, spec.arrivedMillis.toDouble())
            requests.add(request)
            time.after(spec.arrivedMillis.toDouble()) { arrive(request, entries[number % entries.size]) }
        }
        entries.forEachIndexed { number, entry ->
            time.after(number * REPORT_OFFSET_MILLIS) { time.every(REPORT_PERIOD_MILLIS, entry::reports) }
            time.every(TICK_MILLIS, entry::tick)
        }
        time.every(PLAN_PERIOD_MILLIS, ::planRoles)
        time.runUntil(workload.durationMillis + DRAIN_MILLIS)
        return PolicyResult(policy, workload, requests, roleChanges, samples)
    }

    private fun arrive(request: ModelRequest, entry: PolicyEntry) {
        val spec = request.spec
        val rank = spec.priority.rank
        val before = demanded[rank] ?: DemandSample(rank, 0, 0, PLAN_PERIOD_MILLIS.toLong())
        val after =
            before.copy(
                prefillTokens = before.prefillTokens + cachedPart(rank).expectedPrefillTokens(spec.promptTokens),
                decodeTokens = before.decodeTokens + spec.outputTokens,
            )
        demanded = demanded + (rank to after)
        entry.arrived(request)
    }

    private fun planRoles() {
        samples.add(
            RoleSample(
                time.now,
                engines.count {
                    it.role == EngineRole.PREFILL
                },
                plan.totalDemand.prefill,
                plan.totalDemand.decode,
            ),
        )
        plan = RolePlanner.observe(plan, workload.pool, demanded.values.toList(), PLAN_PERIOD_MILLIS.toLong())
        demanded = emptyMap()
        when (policy) {
            Policy.MARIGOLDWARD -> planned(workload.configuration.planner)
            Policy.CHANGE_AT_ONCE -> changeAtOnce()
            Policy.NO_ROLE_CHANGES, Policy.ROUND_ROBIN, Policy.LEAST_REPORTED -> Unit
        }
    }

    private fun planned(settings: PlannerSettings) {
        val views = engines.map { PlannedEngine(it.info.id, it.role, it.isStable, it.streamCount) }
        val decision = RolePlanner.decide(plan, workload.pool, settings, views, time.now)
        plan = decision.state
        val change = decision.change ?: return
        change(engines.first { it.info.id == change.engine }, change.role)
    }

    /** Moves to the split that fits the demand of the last seconds, as many engines at a time as it takes. */
    private fun changeAtOnce() {
        val demand = plan.totalDemand
        if (demand.total <= 0.0) return
        val wanted = Math.round(engines.size * demand.prefill / demand.total).toInt().coerceIn(1, engines.size - 1)
        val targeted = engines.count { it.targetRole == EngineRole.PREFILL }
        val movable = engines.filter { it.isStable }
        if (wanted > targeted) {
            movable.filter {
                it.role == EngineRole.DECODE
            }.take(wanted - targeted).forEach { change(it, EngineRole.PREFILL) }
        } else {
            movable.filter {
                it.role == EngineRole.PREFILL
            }.take(targeted - wanted).forEach { change(it, EngineRole.DECODE) }
        }
    }

    private fun change(engine: ModelEngine, role: EngineRole) {
        roleChanges++
        engine.changeRole(role)
    }

    private fun createEngines(): List<ModelEngine> =
        (1..workload.prefillEngines + workload.decodeEngines).map { number ->
            val id = UpstreamId.parse("${workload.pool.name}-$number")
            val info = UpstreamInfo(id, workload.pool.name, DATA_CENTRE, "127.0.0.1:1", isLeaving = false)
            val role = if (number <= workload.prefillEngines) EngineRole.PREFILL else EngineRole.DECODE
            ModelEngine(info, workload.pool, role, time, honoursRanks = policy.usesServing)
        }

    private fun createEntries(): List<PolicyEntry> {
        val names = (1..workload.entries).map { InstanceId.parse("entry-$it") }
        return names.mapIndexed { number, name ->
            if (policy.usesServing) {
                PolicyEntry.Deciding(name, names, workload, engines, time, ::dispatched, seed + number)
            } else {
                PolicyEntry.Passing(engines, isRoundRobin = policy == Policy.ROUND_ROBIN, time)
            }
        }
    }

    private fun dispatched(request: ModelRequest, prefillTokens: Long) {
        val rank = request.spec.priority.rank
        cachedParts = cachedParts + (rank to cachedPart(rank).observed(request.spec.promptTokens, prefillTokens))
    }

    private fun cachedPart(rank: Int): UncachedShare = cachedParts[rank] ?: UncachedShare.NOTHING_CACHED

    private companion object {
        const val REPORT_PERIOD_MILLIS = 100.0
        const val REPORT_OFFSET_MILLIS = 37.0
        const val TICK_MILLIS = 10.0
        const val PLAN_PERIOD_MILLIS = 1_000.0
        const val DRAIN_MILLIS = 60_000.0
        val DATA_CENTRE = DataCentre.parse("dc")
    }
}
