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
import marigoldward.entry.platform.PlatformPoller
import marigoldward.entry.serving.DecisionLog
import marigoldward.entry.serving.ServingDuty
import marigoldward.entry.upstream.CrashCheck
import marigoldward.entry.upstream.EngineClient
import marigoldward.entry.upstream.IncarnationBook
import marigoldward.entry.upstream.LoadPoller
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

/** One running entry instance. */
public class EntryProgram private constructor(private val settings: EntrySettings) : AutoCloseable {
    private val identity = ClusterIdentity(settings.clusterId, settings.key)
    private val timer = TimerService.start()
    private val control = ControlClient.to(settings.control, identity)
    private val decisions = DecisionLog()
    private val convictions = Duty.start("convictions", SMALL_RING, ::report)
    private val serving = ServingDuty.start(settings.id, settings.dataCentre, decisions, ::convict)
    private val hub = SubscriptionHub.create(MAX_SUBSCRIBERS)
    private val holder = ConfigurationHolder(settings.site, serving, hub)
    private val clients = UpstreamClients()
    private val incarnations = IncarnationBook()
    private val crashes = CrashCheck(clients, incarnations)
    private val demand = DemandCounter(settings.id)
    private val peers =
        EntryPeers(settings.id, settings.dataCentre, settings.entries, identity, holder, serving, demand)
    private val otherEntries = (settings.entries - settings.id).values
    private val subscription =
        ControlSubscription.create(
            settings.id,
            settings.dataCentre,
            settings.control.values,
            otherEntries,
            identity,
            holder,
            hub,
        )
    private val platform = PlatformPoller(settings.platform, clients, serving)
    private val loads = LoadPoller(clients, serving, incarnations) { holder.current }
    private val polling = Duty.start<PollKind>("polling", SMALL_RING) { kinds -> kinds.distinct().forEach(::poll) }
    private val guard = IdempotencyGuard(control)
    private val api =
        CallerApi(
            self = settings.id,
            serving = serving,
            engines = EngineClient(clients, crashes),
            services = ServiceClient(clients, crashes),
            crashes = crashes,
            guard = guard,
            demand = demand,
            configuration = { holder.current },
        )

    @Volatile
    private var isEnding = false
    private val rpcServer = RpcServer.start(settings.listen, identity, listOf(peers.service, hub.service))
    private val operator =
        OperatorServer.start(settings.operatorListen, settings.key, ::isReady, ExplainPage(decisions)::answer)
    private val callerConfig = StreamingUndertow.at(settings.callerListen, MAX_BODY_BYTES, settings.workerThreads)
    private val callers: Http4kServer = callerConfig.toServer(api::handle).start()

    private enum class PollKind { PLATFORM, LOADS, CACHE_EVENTS }

    /** The callers' port. */
    public val callerPort: Int get() = callers.port()

    /** The operators' port. */
    public val operatorPort: Int get() = operator.port

    /** The port for other processes of the system. */
    public val port: Int get() = rpcServer.port

    /** Ends without cutting a request: not ready first, then no new requests, then the rest is finished. */
    override fun close() {
        isEnding = true
        callerConfig.isClosingConnections = true
        log.info("ending") { field("open_requests", serving.openRequests) }
        Thread.sleep(settings.graceMillis)
        serving.put(ServingEvent.ShutDown)
        awaitRequests()
        timer.close()
        callers.stop()
        listOf(operator, rpcServer, subscription, peers, polling, serving, convictions, guard, clients, control)
            .forEach { part -> runCatching { part.close() } }
        log.info("ended")
    }

    private fun isReady(): Boolean = !isEnding && holder.current != null

    private fun awaitRequests() {
        val limitMillis = holder.current?.limits?.requestTimeoutMillis ?: 0
        val endMillis = MonotonicClock.nowMillis() + limitMillis
        while (callerConfig.activeRequests > 0 &&
            MonotonicClock.nowMillis() < endMillis
        ) {
            Thread.sleep(FINISH_POLL_MILLIS)
        }
    }

    private fun startTimers() {
        timer.subscribe(TICK_MILLIS) {
            serving.offer(marigoldward.entry.serving.ServingDutyEvent.Happened(ServingEvent.Tick))
        }
        timer.subscribe(SUBSCRIPTION_PERIOD_MILLIS, subscription::maintain)
        timer.subscribe(PEER_PERIOD_MILLIS, peers::exchange)
        timer.subscribe(PLATFORM_PERIOD_MILLIS) { polling.offer(PollKind.PLATFORM) }
        timer.subscribe(LOAD_PERIOD_MILLIS) { polling.offer(PollKind.LOADS) }
        timer.subscribe(CACHE_PERIOD_MILLIS) { polling.offer(PollKind.CACHE_EVENTS) }
        subscription.maintain()
        polling.offer(PollKind.PLATFORM)
    }

    private fun poll(kind: PollKind) {
        when (kind) {
            PollKind.PLATFORM -> platform.poll()
            PollKind.LOADS -> loads.pollLoads()
            PollKind.CACHE_EVENTS -> loads.pollCacheEvents()
        }
    }

    private fun convict(convict: ServingAction.Quarantine) {
        log.warn("request_quarantined") {
            field("fingerprint", convict.fingerprint)
            field("reason", convict.reason)
        }
        convictions.offer(convict)
    }

    /** Shares convictions, first with the other entries, then through the control state. */
    private fun report(convicts: List<ServingAction.Quarantine>) {
        holder.convict(convicts.map { it.fingerprint }.toSet())
        peers.exchange()
        convicts.forEach { control.submit(ControlCommand.Quarantine(it.fingerprint, it.reason)) }
    }

    /** Starts entries. */
    public companion object {
        private const val MAX_SUBSCRIBERS = 64
        private const val SMALL_RING = 64
        private const val MAX_BODY_BYTES = 67_108_864L
        private const val TICK_MILLIS = 20L
        private const val SUBSCRIPTION_PERIOD_MILLIS = 1_000L
        private const val PEER_PERIOD_MILLIS = 1_000L
        private const val PLATFORM_PERIOD_MILLIS = 500L
        private const val LOAD_PERIOD_MILLIS = 200L
        private const val CACHE_PERIOD_MILLIS = 2_000L
        private const val FINISH_POLL_MILLIS = 20L
        private val log = EventLog.fromName("entry")

        /** Starts the entry with [settings]. */
        public fun start(settings: EntrySettings): EntryProgram {
            val program = EntryProgram(settings)
            program.startTimers()
            log.info("started") { field("instance", settings.id) }
            return program
        }
    }
}
