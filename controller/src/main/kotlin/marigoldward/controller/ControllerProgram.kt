package marigoldward.controller

import marigoldward.controller.control.ConfigurationReader
import marigoldward.controller.control.LeaseClient
import marigoldward.controller.entry.DemandReader
import marigoldward.controller.platform.UpstreamListReader
import marigoldward.controller.upstream.EngineCommandRunner
import marigoldward.controller.upstream.EngineControlClient
import marigoldward.core.control.LeaseScope
import marigoldward.core.model.InstanceId
import marigoldward.support.duty.Duty
import marigoldward.support.http.OperatorServer
import marigoldward.support.log.EventLog
import marigoldward.support.time.TimerService
import marigoldward.wire.control.ControlClient
import marigoldward.wire.rpc.ClusterIdentity
import java.security.SecureRandom

/**
 * A running controller.
 *
 * While it holds the lease of its data centre, it sends commands to the engines there. While it holds the planner lease
 * of its site, it also plans the roles of the site's engines.
 */
public class ControllerProgram private constructor(settings: ControllerSettings) : AutoCloseable {
    private val dataCentre = settings.dataCentre
    private val identity = ClusterIdentity(settings.clusterId, settings.key)
    private val control = ControlClient.to(settings.control, identity)
    private val leaseControl = ControlClient.to(settings.control, identity)
    private val leaseHolder = leaseHolderName(settings.id)
    private val scope = LeaseScope.forEngines(settings.site, settings.dataCentre)
    private val lease = LeaseClient(scope, leaseHolder, leaseControl)
    private val plannerLease = LeaseClient(LeaseScope.forRolePlanning(settings.site), leaseHolder, leaseControl)
    private val engineClient = EngineControlClient { lease.validOrNull != null }
    private val commandRunner = EngineCommandRunner(scope, lease, control, engineClient)
    private val demandReader = DemandReader(settings.entries, identity)
    private val rolePlanner = SiteRolePlanner(plannerLease, control, demandReader, engineClient)
    private val upstreamListReader = UpstreamListReader(settings.platform)
    private val configurationReader = ConfigurationReader(settings.site, control)
    private val leasing = Duty.start<Unit>("leasing", QUEUE_CAPACITY) { acquireOrRenewLeases() }
    private val commanding = Duty.start<Task>("commanding", QUEUE_CAPACITY) { tasks -> tasks.distinct().forEach(::run) }
    private val timer = TimerService.start()
    private val operatorServer = OperatorServer.start(settings.operatorListen, settings.key, isReady = { true })

    private enum class Task { CONFIGURE, COMMAND, PLAN }

    /** The port for operators. */
    public val operatorPort: Int get() = operatorServer.port

    override fun close() {
        timer.close()
        listOf(
            operatorServer,
            commanding,
            leasing,
            engineClient,
            upstreamListReader,
            demandReader,
            control,
            leaseControl,
        ).forEach { part -> runCatching { part.close() } }
    }

    private fun startTimers() {
        timer.subscribe(LEASE_PERIOD_MILLIS) { leasing.offer(Unit) }
        timer.subscribe(CONFIGURE_PERIOD_MILLIS) { commanding.offer(Task.CONFIGURE) }
        timer.subscribe(COMMAND_PERIOD_MILLIS) { commanding.offer(Task.COMMAND) }
        timer.subscribe(SiteRolePlanner.SAMPLE_PERIOD_MILLIS) { commanding.offer(Task.PLAN) }
    }

    private fun acquireOrRenewLeases() {
        lease.acquireOrRenew()
        plannerLease.acquireOrRenew()
    }

    private fun run(task: Task) {
        when (task) {
            Task.CONFIGURE -> configurationReader.read()
            Task.COMMAND -> advanceCommands()
            Task.PLAN -> planRoles()
        }
    }

    private fun advanceCommands() {
        if (lease.validOrNull == null) return
        val pools = configurationReader.current?.pools ?: return
        val records = control.engines(READ_TIMEOUT_MILLIS)?.engines ?: return
        commandRunner.advance(upstreamListReader.read().filter { it.dataCentre == dataCentre }, pools, records)
    }

    private fun planRoles() {
        if (plannerLease.validOrNull == null) return
        val configuration = configurationReader.current ?: return
        val records = control.engines(READ_TIMEOUT_MILLIS)?.engines ?: return
        rolePlanner.plan(configuration, upstreamListReader.read(), records)
    }

    /** Starts controllers. */
    public companion object {
        private const val QUEUE_CAPACITY = 16
        private const val LEASE_PERIOD_MILLIS = 1_000L
        private const val CONFIGURE_PERIOD_MILLIS = 3_000L
        private const val COMMAND_PERIOD_MILLIS = 500L
        private const val READ_TIMEOUT_MILLIS = 1_500L
        private const val RADIX = 36
        private const val MAX_NAME_CHARACTERS = 40
        private val log = EventLog.fromName("controller")

        /** Starts a controller with [settings]. */
        public fun start(settings: ControllerSettings): ControllerProgram {
            val program = ControllerProgram(settings)
            program.startTimers()
            log.info("started") { field("instance", settings.id) }
            return program
        }

        /** Returns a name that differs between runs of the instance [id]. */
        private fun leaseHolderName(id: InstanceId): InstanceId {
            val runId = SecureRandom().nextInt(Int.MAX_VALUE).toString(RADIX)
            return InstanceId.parse("${id.text.take(MAX_NAME_CHARACTERS)}.$runId")
        }
    }
}
