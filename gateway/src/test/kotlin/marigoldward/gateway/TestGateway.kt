package marigoldward.gateway

import io.netty.channel.nio.NioEventLoopGroup
import marigoldward.core.dispatch.Dispatcher
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.PlacementCosts
import marigoldward.core.dispatch.RetryBudgetShare
import marigoldward.core.dispatch.UpstreamHealth
import marigoldward.core.getOrNull
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.EngineDeclaration
import marigoldward.core.routes.RequestKind
import marigoldward.core.routes.Route
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.ServiceDeclaration
import marigoldward.core.routes.ServiceShare
import marigoldward.core.workspaces.Workspace
import marigoldward.gateway.caller.CallerServer
import marigoldward.gateway.caller.RequestMemory
import marigoldward.gateway.session.CrashSuspicions
import marigoldward.gateway.session.Gateway
import marigoldward.gateway.session.SessionContext
import marigoldward.gateway.upstream.UpstreamPool
import marigoldward.support.time.MonotonicClock
import java.io.Closeable
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * A gateway without control instances, which forwards to [upstreams] over real sockets.
 *
 * It has routes for idempotent requests (`/i/`), non-idempotent requests (`/n/`), streams (`/s/`), resumable streams
 * (`/r/`) and idempotent requests that need no key (`/p/`).
 *
 * @param upstreams the address of each upstream, and the stage of an engine or null for a plain service
 * @param workspaces the workspaces of the configuration, or null if it has none
 * @param handlingMillis how long the event loop is busy with each request, as on a slow processor
 */
internal class TestGateway(
    upstreams: List<Pair<String, EngineStage?>>,
    isConfigured: Boolean = true,
    @Volatile var limits: CallerLimits = CallerLimits.DEFAULT,
    timeoutMillis: Long = 1_500,
    private val targetLatencyMillis: Long = 200,
    private val handlingMillis: Long = 0,
    val memory: RequestMemory = RequestMemory.ofHeap(),
    private val retryBudgetSlack: Int = 64,
    private val workspaces: List<Workspace>? = null,
) : Closeable {
    /** Whether keys of the configuration may be accepted. */
    @Volatile
    var isConfirmed = true

    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val dispatcher = Dispatcher(DATA_CENTRE, PlacementCosts.DEFAULT, 1)
    private val pool = UpstreamPool(loop, TestDialect)
    val crashSuspicions = CrashSuspicions()
    private val context =
        SessionContext(
            loop,
            TestDialect,
            dispatcher,
            pool,
            crashSuspicions,
            newRetryBudget = { RetryBudgetShare(0.2, retryBudgetSlack, 10_000) },
            budgetSharerCount = { 1 },
        )
    private val gateway = Gateway(context, Random(1)) { isConfirmed }
    val server = CallerServer(loop, { limits }, memory) { exchange ->
        Thread.sleep(handlingMillis)
        check(exchange.request.head.path != FAILING_PATH) { "a fault of the gateway" }
        gateway.handle(exchange)
    }
    val port: Int get() = server.port

    /** The upstreams as they are listed at first. */
    val listed: List<ListedUpstream> =
        upstreams.mapIndexed { index, (address, stage) -> listed(index, address, stage) }

    init {
        context.gatewayCount = 1
        updateUpstreams(listed)
        if (isConfigured) gateway.configuration = configuration(upstreams.any { it.second != null }, timeoutMillis)
        server.start(InetSocketAddress("127.0.0.1", 0))
    }

    fun caller(): RawCaller = RawCaller(port)

    /** Returns the health of the upstream that was listed as number [index]. */
    fun health(index: Int): UpstreamHealth = onLoop { checkNotNull(dispatcher.recordOrNull(listed[index].id)).health }

    /** Replaces the list of upstreams, as read now. */
    fun updateUpstreams(list: List<ListedUpstream>) {
        context.updateUpstreams(list, MonotonicClock.nowMillis())
    }

    /** Shuts the gateway down within [gracePeriodMillis]; the connections that are open then are reset, as at an exit. */
    fun shutDown(gracePeriodMillis: Long) {
        GracefulShutdown(loop, server, gateway, gracePeriodMillis).run()
        onLoop { server.resetAll() }
    }

    /** Runs [action] on the event loop thread and returns its result. */
    fun <T> onLoop(action: () -> T): T = loop.submit(action).get()

    /** Runs [action] on the event loop thread after the connections that wait now are accepted, before any is read. */
    fun afterNextAccept(action: () -> Unit) {
        loop.schedule(action, 0, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
    }

    private fun listed(index: Int, address: String, stage: EngineStage?) =
        ListedUpstream(UpstreamId.parse("upstream-$index"), SERVICE, address, DATA_CENTRE, 6, false, false, stage)

    private fun configuration(hasEngines: Boolean, timeoutMillis: Long): RouteConfiguration {
        val engine = EngineDeclaration(6, 100_000, 1_000, 1_000.0, 1, 5_000, 3_000)
        val service = ServiceDeclaration(SERVICE, 100, engine.takeIf { hasEngines })
        val routes =
            listOf(
                route("/i/", RequestKind.IDEMPOTENT, 2, timeoutMillis),
                route("/n/", RequestKind.NON_IDEMPOTENT, 2, timeoutMillis),
                route("/s/", RequestKind.STREAM, 2, timeoutMillis),
                route("/r/", RequestKind.STREAM, 2, timeoutMillis).copy(isResumable = true),
                route("/p/", RequestKind.IDEMPOTENT, 2, timeoutMillis).copy(isPublic = true),
            )
        return checkNotNull(RouteConfiguration.check(1, routes, listOf(service), limits, workspaces).getOrNull())
    }

    private fun route(prefix: String, kind: RequestKind, attempts: Int, timeoutMillis: Long): Route = Route(
        name = "route$prefix",
        host = "h.example",
        pathPrefix = prefix,
        kind = kind,
        shares = listOf(ServiceShare(SERVICE, 1)),
        timeoutMillis = timeoutMillis,
        targetLatencyMillis = targetLatencyMillis,
        targetGapMillis = 200,
        priority = 1,
        maxAttempts = attempts,
        isResumable = false,
        hasPrompts = true,
    )

    companion object {
        /** A request to this path fails inside the gateway. */
        const val FAILING_PATH: String = "/fault"
        private val DATA_CENTRE = DataCentre.parse("here")
        private val SERVICE = PoolName.parse("service")
    }
}
