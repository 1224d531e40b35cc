package marigoldward.entry

import marigoldward.core.control.ControlCommand
import marigoldward.core.serving.ServingAction
import marigoldward.core.serving.ServingEvent
import marigoldward.entry.caller.CallerApi
import marigoldward.entry.caller.IdempotencyGuard
import marigoldward.entry.control.ConfigurationHolder
import marigoldward.entry.control.ControlSubscription
import marigoldward.entry.operator.DemandCounter
import marigoldward.entry.operator.ExplainPage
import marigoldward.entry.peer.EntryPeers
import marigoldward.entry.platform.UpstreamListPoller
import marigoldward.entry.serving.DecisionLog
import marigoldward.entry.serving.ServingLoop
import marigoldward.entry.serving.ServingLoopEvent
import marigoldward.entry.upstream.CrashDetector
import marigoldward.entry.upstream.EngineClient
import marigoldward.entry.upstream.EnginePoller
import marigoldward.entry.upstream.KnownIncarnations
import marigoldward.entry.upstream.ServiceClient
import marigoldward.entry.upstream.UpstreamClients
import marigoldward.support.duty.Duty
import marigoldward.support.http.OperatorServer
import marigoldward.support.http.StreamingUndertow
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.support.time.TimerService
import marigoldward.wire.control.ControlClient
import marigoldward.wire.distribution.SubscriptionHub
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcServer
import org.http4k.server.Http4kServer

/**
 * A running entry instance, the process in front of the upstreams.
 *
 * It serves callers, and has an RPC port for other processes of the system and an HTTP port for operators.
 */
public class EntryProgram private constructor(private val settings: EntrySettings) : AutoCloseable {
    private val identity = ClusterIdentity(settings.clusterId, settings.key)
    private val timer = TimerService.start()
    private val control = ControlClient.to(settings.control, identity)
    private val decisionLog = DecisionLog()
    private val quarantineReports = Duty.start("convictions", SMALL_QUEUE_CAPACITY, ::reportQuarantine)
    private val servingLoop = ServingLoop.start(settings.id, settings.dataCentre, decisionLog, ::onQuarantine)
    private val hub = SubscriptionHub.create(MAX_SUBSCRIBERS)
    private val configurationHolder = ConfigurationHolder(settings.site, servingLoop, hub)
    private val clients = UpstreamClients()
    private val incarnations = KnownIncarnations()
    private val crashDetector = CrashDetector(clients, incarnations)
    private val demandCounter = DemandCounter(settings.id)
    private val peers =
        EntryPeers(
            settings.id,
            settings.dataCentre,
            settings.entries,
            identity,
            configurationHolder,
            servingLoop,
            demandCounter,
        )
    private val otherEntries = (settings.entries - settings.id).values
    private val subscription =
        ControlSubscription.create(
            settings.id,
            settings.dataCentre,
            settings.control.values,
            otherEntries,
            identity,
            configurationHolder,
            hub,
        )
    private val upstreamListPoller = UpstreamListPoller(settings.platform, clients, servingLoop)
    private val enginePoller = EnginePoller(clients, servingLoop, incarnations) { configurationHolder.current }
    private val polling = Duty.start<PollKind>("polling", SMALL_QUEUE_CAPACITY) { kinds ->
        kinds.distinct().forEach(::poll)
    }
    private val idempotencyGuard = IdempotencyGuard(control)
    private val api =
        CallerApi(
            self = settings.id,
            servingLoop = servingLoop,
            engineClient = EngineClient(clients, crashDetector),
            serviceClient = ServiceClient(clients, crashDetector),
            crashDetector = crashDetector,
            idempotencyGuard = idempotencyGuard,
            demandCounter = demandCounter,
            currentConfiguration = { configurationHolder.current },
        )

    @Volatile
    private var isShuttingDown = false
    private val rpcServer = RpcServer.start(settings.listen, identity, listOf(peers.service, hub.service))
    private val operatorServer =
        OperatorServer.start(settings.operatorListen, settings.key, ::isReady, ExplainPage(decisionLog)::handle)
    private val callerServerConfig = StreamingUndertow.at(settings.callerListen, MAX_BODY_BYTES, settings.workerThreads)
    private val callerServer: Http4kServer = callerServerConfig.toServer(api::handle).start()

    private enum class PollKind { PLATFORM, LOADS, CACHE_EVENTS }

    /** The port for callers. */
    public val callerPort: Int get() = callerServer.port()

    /** The port for operators. */
    public val operatorPort: Int get() = operatorServer.port

    /** The port for other processes of the system. */
    public val port: Int get() = rpcServer.port

    /**
     * Shuts down without interrupting requests.
     *
     * Readiness fails at once, and requests are still accepted for [EntrySettings.graceMillis]. After that, new
     * requests are refused, and open ones have up to the request timeout to finish.
     */
    override fun close() {
        isShuttingDown = true
        callerServerConfig.isClosingConnections = true
        log.info("ending") { field("open_requests", servingLoop.openRequests) }
        Thread.sleep(settings.graceMillis)
        servingLoop.put(ServingEvent.ShutDown)
        awaitOpenRequests()
        timer.close()
        callerServer.stop()
        listOf(
            operatorServer,
            rpcServer,
            subscription,
            peers,
            polling,
            servingLoop,
            quarantineReports,
            idempotencyGuard,
            clients,
            control,
        ).forEach { part -> runCatching { part.close() } }
        log.info("ended")
    }

    private fun isReady(): Boolean = !isShuttingDown && configurationHolder.current != null

    private fun awaitOpenRequests() {
        val limitMillis = configurationHolder.current?.limits?.requestTimeoutMillis ?: 0
        val endMillis = MonotonicClock.nowMillis() + limitMillis
        while (callerServerConfig.activeRequests > 0 && MonotonicClock.nowMillis() < endMillis) {
            Thread.sleep(SHUTDOWN_POLL_MILLIS)
        }
    }

    private fun startTimers() {
        timer.subscribe(TICK_MILLIS) {
            servingLoop.offer(ServingLoopEvent.Step(ServingEvent.Tick))
        }
        timer.subscribe(SUBSCRIPTION_PERIOD_MILLIS, subscription::renewOrResubscribe)
        timer.subscribe(PEER_PERIOD_MILLIS, peers::exchange)
        timer.subscribe(PLATFORM_PERIOD_MILLIS) { polling.offer(PollKind.PLATFORM) }
        timer.subscribe(LOAD_PERIOD_MILLIS) { polling.offer(PollKind.LOADS) }
        timer.subscribe(CACHE_EVENTS_PERIOD_MILLIS) { polling.offer(PollKind.CACHE_EVENTS) }
        subscription.renewOrResubscribe()
        polling.offer(PollKind.PLATFORM)
    }

    private fun poll(kind: PollKind) {
        when (kind) {
            PollKind.PLATFORM -> upstreamListPoller.poll()
            PollKind.LOADS -> enginePoller.pollLoads()
            PollKind.CACHE_EVENTS -> enginePoller.pollCacheEvents()
        }
    }

    private fun onQuarantine(quarantine: ServingAction.Quarantine) {
        log.warn("request_quarantined") {
            field("fingerprint", quarantine.fingerprint)
            field("reason", quarantine.reason)
        }
        quarantineReports.offer(quarantine)
    }

    /** Reports quarantined fingerprints to the other entries and then to the replicated control state. */
    private fun reportQuarantine(quarantines: List<ServingAction.Quarantine>) {
        configurationHolder.quarantine(quarantines.map { it.fingerprint }.toSet())
        peers.exchange()
        quarantines.forEach { control.submit(ControlCommand.Quarantine(it.fingerprint, it.reason)) }
    }

    /** Starts entry instances. */
    public companion object {
        private const val MAX_SUBSCRIBERS = 64
        private const val SMALL_QUEUE_CAPACITY = 64
        private const val MAX_BODY_BYTES = 67_108_864L
        private const val TICK_MILLIS = 20L
        private const val SUBSCRIPTION_PERIOD_MILLIS = 1_000L
        private const val PEER_PERIOD_MILLIS = 1_000L
        private const val PLATFORM_PERIOD_MILLIS = 500L
        private const val LOAD_PERIOD_MILLIS = 200L
        private const val CACHE_EVENTS_PERIOD_MILLIS = 2_000L
        private const val SHUTDOWN_POLL_MILLIS = 20L
        private val log = EventLog.fromName("entry")

        /** Starts an entry instance with [settings]. */
        public fun start(settings: EntrySettings): EntryProgram {
            val program = EntryProgram(settings)
            program.startTimers()
            log.info("started") { field("instance", settings.id) }
            return program
        }
    }
}
