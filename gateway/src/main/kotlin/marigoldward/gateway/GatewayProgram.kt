package marigoldward.gateway

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import marigoldward.core.dispatch.BudgetSharers
import marigoldward.core.dispatch.Dispatcher
import marigoldward.core.dispatch.GatewayCount
import marigoldward.core.dispatch.PlacementCosts
import marigoldward.core.dispatch.RetryBudgetShare
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.gateway.caller.CallerServer
import marigoldward.gateway.caller.RequestMemory
import marigoldward.gateway.caller.StatusServer
import marigoldward.gateway.control.BudgetSharersLog
import marigoldward.gateway.control.ConfirmedRoutes
import marigoldward.gateway.control.ControlExchange
import marigoldward.gateway.control.ControlFeed
import marigoldward.gateway.control.CrashReporter
import marigoldward.gateway.control.ReceivedDirectory
import marigoldward.gateway.control.RouteSelection
import marigoldward.gateway.demand.MeasuredDemand
import marigoldward.gateway.session.CrashSuspicions
import marigoldward.gateway.session.Gateway
import marigoldward.gateway.session.SessionContext
import marigoldward.gateway.upstream.UpstreamPool
import marigoldward.gateway.usage.MeteredUsage
import marigoldward.support.directory.DirectoryCache
import marigoldward.support.directory.DirectoryDuty
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.directory.DirectorySource
import marigoldward.support.log.EventLog
import marigoldward.support.metrics.MetricsPage
import marigoldward.support.program.ListenWait
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.FeedUpdate
import java.net.BindException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * A running gateway, which forwards requests without interpreting their bodies. Everything but reading the directory of
 * upstreams runs on one event loop.
 */
public class GatewayProgram private constructor(
    private val settings: GatewaySettings,
    routeReader: RouteDocumentReader,
    directorySource: DirectorySource,
    dialect: Dialect,
) : AutoCloseable {
    private val loopGroup = NioEventLoopGroup(1, DefaultThreadFactory("loop", true))
    private val loop: EventLoop = loopGroup.next()
    private val random = Random(System.nanoTime())
    private val dispatcher = Dispatcher(settings.dataCentre, PlacementCosts.DEFAULT, random.nextLong())
    private val pool = UpstreamPool(loop, dialect)
    private val crashes = CrashSuspicions()
    private val startedMillis = MonotonicClock.nowMillis()
    private val gatewayCount = GatewayCount()
    private val budgetSharers = BudgetSharers(settings.retryBudgetWindowMillis, startedMillis)
    private val routeSelection = RouteSelection(routeReader, startedMillis)
    private val budgetSharersLog = BudgetSharersLog(BudgetSharers.UNKNOWN_COUNT, startedMillis)
    private val usage = settings.usageWindowMillis?.let { MeteredUsage(it) }
    private val demand: MeasuredDemand = MeasuredDemand(::isScaled)
    private val context = SessionContext(loop, dialect, dispatcher, pool, crashes, ::newRetryBudget, usage, demand) {
        budgetSharers.count(MonotonicClock.nowMillis())
    }
    private val confirmedRoutes = settings.revocationMillis?.let { ConfirmedRoutes(it) }
    private val gateway: Gateway = Gateway(context, random) { confirmedRoutes?.isConfirmed(it.version) ?: true }
    private val memory = RequestMemory(settings.callerBounds)
    private val callerServer = CallerServer(loop, ::callerLimits, memory, gateway::handle)
    private val readinessServer = StatusServer(loop, memory, ::readinessPage)
    private val metricsServer = StatusServer(loop, memory, ::metricsPage)
    private val directoryBook = newDirectoryCache()
    private val receivedDirectory = ReceivedDirectory()
    private var wasControlListTaken = true
    private val feed =
        ControlFeed(
            settings = settings,
            runOnLoop = { loop.execute(loggedTask(it)) },
            schedule = context::schedule,
            routesVersion = { gateway.configuration?.version ?: 0 },
            onRoutes = ::onRoutesReceived,
            onUpdate = ::onFeedUpdate,
        )
    private val exchange =
        ControlExchange(
            entry = settings.id,
            parts = listOfNotNull(confirmedRoutes, usage, demand),
            runOnLoop = { loop.execute(loggedTask(it)) },
            isNeeded = { gateway.configuration?.let(::needsExchange) == true },
            currentClient = feed::currentClient,
            periodMillis = confirmedRoutes?.askPeriodMillis ?: EXCHANGE_PERIOD_MILLIS,
        )
    private val crashReporter = CrashReporter(settings, crashes, context::schedule) { feed.current }
    private val directory = DirectoryDuty(directorySource) { reading -> loop.execute { onDirectoryRead(reading) } }
    private var wereKeysAccepted = false
    private var isShuttingDown = false
    private var isClosed = false

    @Volatile
    private var seeds = settings.cluster.seedInstances

    private val isReady: Boolean
        get() {
            val configuration = gateway.configuration ?: return false
            if (isShuttingDown || directoryBook.upstreams == null) return false
            return confirmedRoutes?.isStartOver(configuration) ?: true
        }

    /** Replaces the seed control instances. */
    public fun changeSeeds(seeds: List<InstanceId>) {
        if (seeds == this.seeds) return
        log.info("seeds_changed") { field("seeds", seeds.joinToString(",")) }
        this.seeds = seeds
        loop.execute { feed.changeSeeds(seeds) }
    }

    /**
     * Shuts down without interrupting requests. Reports that the gateway is not ready and closes each connection after
     * its next response; later closes the idle connections too. Accepts connections until the requests in progress have
     * ended or the grace period is nearly over. After that, listens at none of its addresses.
     */
    override fun close() {
        loop.execute { isShuttingDown = true }
        GracefulShutdown(loop, callerServer, gateway, settings.gracePeriodMillis).run()
        loop.execute {
            feed.close()
            isClosed = true
            readinessServer.stop()
            metricsServer.stop()
        }
        // The loop closes the sockets of the system when it has looked for events after that.
        loop.schedule({}, 1, TimeUnit.MILLISECONDS).await(LOOP_CALL_TIMEOUT_MILLIS)
    }

    private fun start() {
        LoopWatch.start(loop)
        crashes.onReportDue = crashReporter::requestReport
        feed.changeSeeds(settings.cluster.seedInstances)
        readinessServer.start(settings.readinessListenAddress, ListenWait.UntilFree)
        serveMetrics()
        // Last, as a start that is cancelled while it waits must not have accepted a request.
        callerServer.start(settings.callerListenAddress, ListenWait.UntilFree)
        scheduleRepeatedly(FEED_CHECK_INTERVAL_MILLIS, feed::maintain)
        scheduleRepeatedly(EXCHANGE_CHECK_INTERVAL_MILLIS, ::maintainExchange)
        scheduleRepeatedly(DIRECTORY_CHECK_INTERVAL_MILLIS, ::checkDirectory)
        scheduleRepeatedly(POOL_CHECK_INTERVAL_MILLIS) { pool.closeExpired(dispatcher::acceptsRequests) }
        loop.execute(feed::maintain)
    }

    /** Serves the metrics, which callers don't need: if their address is in use, later, on a thread of its own. */
    private fun serveMetrics() {
        val address = InetSocketAddress(settings.ip, settings.metricsPort)
        try {
            metricsServer.start(address, ListenWait.Bounded(maxMillis = 0))
        } catch (_: BindException) {
            thread(name = "metrics-address", isDaemon = true) {
                runCatching { metricsServer.start(address, ListenWait.UntilFree) }
                    .onSuccess { loop.execute { if (isClosed) metricsServer.stop() } }
                    .onFailure { failure -> log.warn("metrics_not_served") { field("reason", failure) } }
            }
        }
    }

    private fun isScaled(service: PoolName): Boolean = gateway.configuration?.services?.get(service)?.scaling != null

    private fun needsExchange(configuration: RouteConfiguration): Boolean =
        configuration.workspaces != null || configuration.services.values.any { it.scaling != null }

    private fun maintainExchange() {
        val version = gateway.configuration?.version ?: return
        val isConfirmed = confirmedRoutes?.isConfirmed(version) ?: true
        // Once only: a newer configuration that this process can't read would have it ask without a pause for ever.
        if (wereKeysAccepted && !isConfirmed) exchange.requestNow()
        wereKeysAccepted = isConfirmed
        exchange.maintain()
        confirmedRoutes?.recordAge(version)
    }

    private fun scheduleRepeatedly(periodMillis: Long, action: () -> Unit) {
        loop.scheduleWithFixedDelay(loggedTask(action), periodMillis, periodMillis, TimeUnit.MILLISECONDS)
    }

    private fun newRetryBudget(): RetryBudgetShare =
        RetryBudgetShare(settings.retryBudgetRatio, settings.retryBudgetSlack, settings.retryBudgetWindowMillis)

    private fun logBudgetSharers(reported: Int?, isFresh: Boolean) {
        val nowMillis = MonotonicClock.nowMillis()
        budgetSharersLog.record(budgetSharers.count(nowMillis), reported, isFresh, nowMillis)
    }

    private fun callerLimits(): CallerLimits = gateway.configuration?.limits ?: CallerLimits.DEFAULT

    private fun onFeedUpdate(update: FeedUpdate, isFresh: Boolean) {
        val reportedCount = maxOf(1, update.entryCount)
        gatewayCount.report(reportedCount, isFresh, MonotonicClock.nowMillis())
        context.gatewayCount = gatewayCount.count
        GatewayMetrics.gatewayCount.set(gatewayCount.count.toDouble())
        budgetSharers.report(reportedCount, isFresh, MonotonicClock.nowMillis())
        logBudgetSharers(update.entryCount, isFresh)
        update.crashCounts?.let { crashes.update(it, MonotonicClock.nowMillis()) }
        if (isFresh) routeSelection.considerWaitingOrNull(isFresh, MonotonicClock.nowMillis())?.let(::apply)
        receivedDirectory.receiveOrNull(update, MonotonicClock.nowMillis())
            ?.let { considerDirectory(it, isChanged = update.directory != null, feed.current?.text) }
    }

    /**
     * Uses [reading] unless it is older than the list in use.
     *
     * @param isChanged whether the list differs from the one before of the same source
     * @param source the control instance that sent it, or null if this process has read it itself
     */
    private fun considerDirectory(reading: DirectoryReading, isChanged: Boolean, source: String?) {
        val nowMillis = MonotonicClock.nowMillis()
        val heldAgeMillis = directoryBook.ageMillisOrNull(nowMillis)
        val isTaken = directoryBook.replaceUnlessOlder(reading.upstreams, reading.readMillis)
        if (isTaken) context.updateUpstreams(reading.upstreams, reading.readMillis)
        // An unchanged list of control is only worth a line when it is no longer taken, or taken again.
        val isTakenAsBefore = source == null || isTaken == wasControlListTaken
        if (source != null) wasControlListTaken = isTaken
        if (!isChanged && isTakenAsBefore) return
        log.info(if (isTaken) "directory_changed" else "directory_refused") {
            field("source", source ?: "self")
            field("upstreams", reading.upstreams.size)
            field("leaving", reading.upstreams.filter { it.isLeaving }.joinToString(",") { it.id.text })
            field("with_start", reading.upstreams.count { it.startedUnixMillis != null })
            field("age_ms", nowMillis - reading.readMillis)
            field("held_age_ms", heldAgeMillis)
        }
    }

    private fun onRoutesReceived(document: RouteDocument, isFresh: Boolean) {
        routeSelection.considerOrNull(document, isFresh, MonotonicClock.nowMillis())?.let(::apply)
    }

    private fun apply(selection: RouteSelection.Selection) {
        when (selection) {
            is RouteSelection.Selection.Selected -> {
                val configuration = selection.configuration
                gateway.configuration = configuration
                directoryBook.reading?.let { context.updateUpstreams(it.upstreams, it.readMillis) }
                exchange.maintain()
                GatewayMetrics.routesVersion.set(configuration.version.toDouble())
                log.info("configuration_applied") {
                    field("version", configuration.version)
                    field("routes", configuration.routes.size)
                }
            }
            is RouteSelection.Selection.Unreadable -> log.warn("configuration_not_applied") {
                field("version", selection.version)
                field("in_force", gateway.configuration?.version)
                field("problem", selection.problem)
            }
        }
        GatewayMetrics.unreadableRoutesVersion.set((routeSelection.unreadableVersion ?: 0).toDouble())
    }

    private fun checkDirectory() {
        val nowMillis = MonotonicClock.nowMillis()
        GatewayMetrics.directoryAgeSeconds.set((directoryBook.ageMillisOrNull(nowMillis) ?: 0) / MILLIS_PER_SECOND)
        routeSelection.considerWaitingOrNull(isFresh = false, nowMillis)?.let(::apply)
        logBudgetSharers(reported = null, isFresh = false)
        if (gateway.configuration != null && directoryBook.markReadStartedIfDue(nowMillis)) directory.poll()
    }

    private fun onDirectoryRead(reading: DirectoryReading) {
        log.info("directory_read") { field("upstreams", reading.upstreams.size) }
        considerDirectory(reading, isChanged = reading.upstreams != directoryBook.upstreams, source = null)
    }

    private fun newDirectoryCache(): DirectoryCache {
        val jitterMillis = random.nextLong(MAX_DIRECTORY_JITTER_MILLIS)
        return DirectoryCache(MAX_DIRECTORY_AGE_MILLIS + jitterMillis, DIRECTORY_READ_INTERVAL_MILLIS + jitterMillis)
    }

    private fun readinessPage(): StatusServer.Page =
        if (isReady) StatusServer.Page(OK, TEXT, "ready\n") else StatusServer.Page(UNAVAILABLE, TEXT, "not ready\n")

    private fun metricsPage(): StatusServer.Page {
        val current = MetricsPage.current()
        return StatusServer.Page(OK, current.contentType, current.text)
    }

    /** Starts gateways. */
    public companion object {
        private const val OK = 200
        private const val UNAVAILABLE = 503
        private const val TEXT = "text/plain"
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val LOOP_CALL_TIMEOUT_MILLIS = 1_000L
        private const val FEED_CHECK_INTERVAL_MILLIS = 200L
        private const val EXCHANGE_CHECK_INTERVAL_MILLIS = 100L
        private const val EXCHANGE_PERIOD_MILLIS = 1_000L
        private const val DIRECTORY_CHECK_INTERVAL_MILLIS = 300L
        private const val POOL_CHECK_INTERVAL_MILLIS = 500L

        /**
         * The age of the list of upstreams above which a gateway reads it itself instead of waiting for control. A list
         * of this age means that control has missed a reading.
         */
        private const val MAX_DIRECTORY_AGE_MILLIS = 1_500L

        /** How often a gateway reads the list of upstreams while control does not send it. */
        private const val DIRECTORY_READ_INTERVAL_MILLIS = 1_000L

        /** Upper bound of the random delay that keeps gateways from reading the list all at once when control fails. */
        private const val MAX_DIRECTORY_JITTER_MILLIS = 400L

        private val log = EventLog.fromName("entry")

        /** Starts a gateway. Waits until its addresses are free. */
        public fun start(
            settings: GatewaySettings,
            routeReader: RouteDocumentReader,
            directory: DirectorySource,
            dialect: Dialect,
        ): GatewayProgram {
            val program = GatewayProgram(settings, routeReader, directory, dialect)
            program.start()
            log.info("started") {
                field("entry", settings.id)
                field("seeds", settings.cluster.seedInstances.joinToString(","))
            }
            return program
        }
    }
}
