package marigoldward.controller

import io.prometheus.metrics.core.metrics.Counter
import marigoldward.controller.control.LeaseClient
import marigoldward.controller.entry.DemandReader
import marigoldward.controller.upstream.EngineControlClient
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.EngineCommand
import marigoldward.core.control.EngineRecord
import marigoldward.core.control.OperationId
import marigoldward.core.model.EngineRole
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.model.UpstreamKind
import marigoldward.core.planning.PlannedEngine
import marigoldward.core.planning.PlannerState
import marigoldward.core.planning.RoleChange
import marigoldward.core.planning.RolePlanner
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.control.ControlClient

/**
 * Plans the roles of all engines of a site, while this controller holds the site's planner lease.
 *
 * It only records the desired role changes in the control state. The controllers of the engines' data centres carry
 * them out.
 */
internal class SiteRolePlanner(
    private val lease: LeaseClient,
    private val control: ControlClient,
    private val demandReader: DemandReader,
    private val engineClient: EngineControlClient,
) {
    private var plannerStates = emptyMap<PoolName, PlannerState>()

    /** Samples the demand and requests at most one role change for each pool. */
    fun plan(configuration: SiteConfiguration, listed: List<UpstreamInfo>, records: Map<UpstreamId, EngineRecord>) {
        val samples = demandReader.read()
        if (lease.validOrNull == null) return
        configuration.pools.filter { it.kind == UpstreamKind.ENGINE }.forEach { pool ->
            val previous = plannerStates[pool.name] ?: PlannerState.EMPTY
            val observed = RolePlanner.observe(previous, pool, samples[pool.name].orEmpty(), SAMPLE_PERIOD_MILLIS)
            val engines = listed
                .filter { it.pool == pool.name && !it.isLeaving }
                .map { toPlannedEngine(it, records[it.id]) }
            val decision =
                RolePlanner.decide(observed, pool, configuration.planner, engines, MonotonicClock.nowMillis())
            plannerStates = plannerStates + (pool.name to decision.state)
            decision.change?.let { requestRoleChange(pool, it, records[it.engine]) }
        }
    }

    private fun toPlannedEngine(engine: UpstreamInfo, record: EngineRecord?): PlannedEngine {
        val state = engineClient.stateOrNull(engine.address)
        val isOccupied = record != null && (record.desired != null || record.openIntent != null || record.isSetAside)
        val isStable = state != null && !isOccupied && !state.isChanging && !state.isDraining
        val role = state?.role ?: EngineRole.MIXED
        return PlannedEngine(engine.id, role, isStable, state?.openRequests ?: 0)
    }

    private fun requestRoleChange(pool: UpstreamPool, change: RoleChange, record: EngineRecord?) {
        val token = lease.validOrNull?.token ?: return
        val version = record?.version ?: 0
        val operationId = OperationId.parse("planner-$token-${change.engine}-v$version")
        control.submit(
            ControlCommand.SetDesired(operationId, change.engine, version, EngineCommand.ChangeRole(change.role)),
        )
        plannedChanges.labelValues(pool.name.text).inc()
        log.info("role_change_planned") {
            field("engine", change.engine)
            field("role", change.role.label)
            field("gain_engine_seconds", change.gainEngineSeconds)
        }
    }

    companion object {
        /** How often the demand is sampled. */
        const val SAMPLE_PERIOD_MILLIS: Long = 2_000
        private val log = EventLog.fromName("planning")
        private val plannedChanges: Counter =
            Counter
                .builder()
                .name("marigoldward_role_changes_planned_total")
                .help("Role changes decided by the planner")
                .labelNames("pool")
                .register()
    }
}
