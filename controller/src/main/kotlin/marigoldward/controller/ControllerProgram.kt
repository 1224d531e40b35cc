package marigoldward.controller

import marigoldward.controller.control.ConfigurationReader
import marigoldward.controller.control.LeaseKeeper
import marigoldward.controller.entry.DemandReader
import marigoldward.controller.platform.EngineList
import marigoldward.controller.upstream.EngineLink
import marigoldward.controller.upstream.EngineOrders
import marigoldward.core.control.LeaseScope
import marigoldward.core.model.InstanceId
import marigoldward.support.duty.Duty
import marigoldward.support.http.OperatorServer
import marigoldward.support.log.EventLog
import marigoldward.support.time.TimerService
import marigoldward.wire.control.ControlClient
import marigoldward.wire.rpc.ClusterIdentity
import java.security.SecureRandom

/** One running controller: it waits for the lease of its data centre, then commands that data centre's engines. */
public class ControllerProgram private constructor(settings: ControllerSettings) : AutoCloseable {
    private val dataCentre = settings.dataCentre
    private val identity = ClusterIdentity(settings.clusterId, settings.key)
    private val control = ControlClient.to(settings.control, identity)
    private val leaseControl = ControlClient.to(settings.control, identity)
    private val holder = runName(settings.id)
    private val scope = LeaseScope.forEngines(settings.site, settings.dataCentre)
    private val lease = LeaseKeeper(scope, holder, leaseControl)
    private val plannerLease = LeaseKeeper(LeaseScope.forRolePlanning(settings.site), holder, leaseControl)
    private val link = EngineLink { lease.validOrNull != null }
    private val orders = EngineOrders(scope, lease, control, link)
    private val demand = DemandReader(settings.entries, identity)
    private val planning = RolePlanning(plannerLease, control, demand, link)
    private val list = EngineList(settings.platform)
    private val configuration = ConfigurationReader(settings.site, control)
    private val leasing = Duty.start<Unit>("leasing", RING) { maintainLeases() }
    private val commanding = Duty.start<Kind>("commanding", RING) { kinds -> kinds.distinct().forEach(::act) }
    private val timer = TimerService.start()
    private val operator = OperatorServer.start(settings.operatorListen, settings.key, isReady = { true })

    private enum class Kind { CONFIGURE, COMMAND, PLAN }

    /** The operators' port. */
    public val operatorPort: Int get() = operator.port

    override fun close() {
        timer.close()
        listOf(operator, commanding, leasing, link, list, demand, control, leaseControl)
            .forEach { part -> runCatching { part.close() } }
    }

    private fun startTimers() {
        timer.subscribe(LEASE_PERIOD_MILLIS) { leasing.offer(Unit) }
        timer.subscribe(CONFIGURE_PERIOD_MILLIS) { commanding.offer(Kind.CONFIGURE) }
        timer.subscribe(COMMAND_PERIOD_MILLIS) { commanding.offer(Kind.COMMAND) }
        timer.subscribe(RolePlanning.PERIOD_MILLIS) { commanding.offer(Kind.PLAN) }
    }

    private fun maintainLeases() {
        lease.maintain()
        plannerLease.maintain()
    }

    private fun act(kind: Kind) {
        when (kind) {
            Kind.CONFIGURE -> configuration.read()
            Kind.COMMAND -> command()
            Kind.PLAN -> plan()
        }
    }

    private fun command() {
        if (lease.validOrNull == null) return
        val pools = configuration.current?.pools ?: return
        val records = control.engines(READ_MILLIS)?.engines ?: return
        orders.advance(list.read().filter { it.dataCentre == dataCentre }, pools, records)
    }

    private fun plan() {
        if (plannerLease.validOrNull == null) return
        val current = configuration.current ?: return
        val records = control.engines(READ_MILLIS)?.engines ?: return
        planning.plan(current, list.read(), records)
    }

    /** Starts controllers. */
    public companion object {
        private const val RING = 16
        private const val LEASE_PERIOD_MILLIS = 1_000L
        private const val CONFIGURE_PERIOD_MILLIS = 3_000L
        private const val COMMAND_PERIOD_MILLIS = 500L
        private const val READ_MILLIS = 1_500L
        private const val RADIX = 36
        private const val MAX_NAME_CHARACTERS = 40
        private val log = EventLog.fromName("controller")

        /** Starts the controller with [settings]. */
        public fun start(settings: ControllerSettings): ControllerProgram {
            val program = ControllerProgram(settings)
            program.startTimers()
            log.info("started") { field("instance", settings.id) }
            return program
        }

        /** A name that no other run of the instance has. */
        private fun runName(id: InstanceId): InstanceId {
            val run = SecureRandom().nextInt(Int.MAX_VALUE).toString(RADIX)
            return InstanceId.parse("${id.text.take(MAX_NAME_CHARACTERS)}.$run")
        }
    }
}
