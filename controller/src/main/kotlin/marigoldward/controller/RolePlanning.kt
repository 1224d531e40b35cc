package marigoldward.controller

import io.prometheus.metrics.core.metrics.Counter
import marigoldward.controller.control.LeaseKeeper
import marigoldward.controller.entry.DemandReader
import marigoldward.controller.upstream.EngineLink
import marigoldward.core.config.SiteConfiguration
import marigoldward.core.config.UpstreamPool
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.EngineCommand
import marigoldward.core.control.EngineRecord
import marigoldward.core.control.OperationId
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

/** Plans the roles of a whole site's engines, while this controller holds the site's planner lease. */
internal class RolePlanning(
    private val lease: LeaseKeeper,
    private val control: ControlClient,
    private val demand: DemandReader,
    private val link: EngineLink,
) {
    private var plans = emptyMap<PoolName, PlannerState>()

    /** Takes a new sample of the demand and makes at most one change a pool. */
    fun plan(configuration: SiteConfiguration, listed: List<UpstreamInfo>, records: Map<UpstreamId, EngineRecord>) {
        val samples = demand.read()
        if (lease.validOrNull == null) return
        configuration.pools.filter { it.kind == UpstreamKind.ENGINE }.forEach { pool ->
            val before = plans[pool.name] ?: PlannerState.EMPTY
            val observed = RolePlanner.observe(before, pool, samples[pool.name].orEmpty(), PERIOD_MILLIS)
            val engines = listed.filter { it.pool == pool.name && !it.isLeaving }.map { planned(it, records[it.id]) }
            val decision = RolePlanner.decide(
                observed,
                pool,
                configuration.planner,
                engines,
                MonotonicClock.nowMillis(),
            )
            plans = plans + (pool.name to decision.state)
            decision.change?.let { order(pool, it, records[it.engine]) }
        }
    }

    private fun planned(engine: UpstreamInfo, record: EngineRecord?): PlannedEngine {
        val view = link.viewOrNull(engine.address)
        val isOpen = record != null && (record.desired != null || record.openIntent != null || record.isSetAside)
        val isStable = view != null && !isOpen && !view.isChanging && !view.isDraining
        val role = view?.role ?: marigoldward.core.model.EngineRole.MIXED
        return PlannedEngine(engine.id, role, isStable, view?.openRequests ?: 0)
    }

    private fun order(pool: UpstreamPool, change: RoleChange, record: EngineRecord?) {
        val token = lease.validOrNull?.token ?: return
        val version = record?.version ?: 0
        val operation = OperationId.parse("planner-$token-${change.engine}-v$version")
        control.submit(
            ControlCommand.SetDesired(operation, change.engine, version, EngineCommand.ChangeRole(change.role)),
        )
        changes.labelValues(pool.name.text).inc()
        log.info("role_change_planned") {
            field("engine", change.engine)
            field("role", change.role.label)
            field("gain_engine_seconds", change.gainEngineSeconds)
        }
    }

    companion object {
        /** How often the demand is sampled, in milliseconds. */
        const val PERIOD_MILLIS: Long = 2_000
        private val log = EventLog.fromName("planning")
        private val changes: Counter =
            Counter
                .builder()
                .name("marigoldward_role_changes_planned_total")
                .help("Role changes decided by the planner")
                .labelNames("pool")
                .register()
    }
}
