package marigoldward.gateway

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import marigoldward.core.Outcome
import marigoldward.core.dispatch.BudgetSharers
import marigoldward.core.dispatch.Dispatcher
import marigoldward.core.dispatch.PlacementCosts
import marigoldward.core.dispatch.RetryBudgetShare
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.gateway.caller.CallerServer
import marigoldward.gateway.caller.RequestMemory
import marigoldward.gateway.caller.StatusServer
import marigoldward.gateway.control.BudgetSharersLog
import marigoldward.gateway.control.ControlFeed
import marigoldward.gateway.control.CrashReporter
import marigoldward.gateway.session.CrashSuspicions
import marigoldward.gateway.session.Gateway
import marigoldward.gateway.session.SessionContext
import marigoldward.gateway.upstream.UpstreamPool
import marigoldward.support.bytes.Gzip
import marigoldward.support.directory.DirectoryCache
import marigoldward.support.directory.DirectoryDuty
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.directory.DirectorySource
import marigoldward.support.log.EventLog
import marigoldward.support.metrics.MetricsPage
import marigoldward.support.program.ListenAddress
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.FeedUpdate
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * A running gateway, which forwards requests without interpreting their bodies. Everything but reading the directory of
 * upstreams runs on one event loop.
 */
public class GatewayProgram private constructor(
    private val settings: GatewaySettings,
    private val routeReader: RouteDocumentReader,
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
    private val budgetSharers = BudgetSharers(settings.retryBudgetWindowMillis, startedMillis)
    private val budgetSharersLog = BudgetSharersLog(BudgetSharers.UNKNOWN_COUNT, startedMillis)
    private val context = SessionContext(loop, dialect, dispatcher, pool, crashes, ::newRetryBudget) {
        budgetSharers.count(MonotonicClock.nowMillis())
    }
    private val gateway = Gateway(context, random)
    private val memory = RequestMemory.ofHeap()
    private val callerServer = CallerServer(loop, ::callerLimits, memory, gateway::handle)
    private val readinessServer = StatusServer(loop, memory, ::readinessPage)
    private val metricsServer = StatusServer(loop, memory, ::metricsPage)
    private val directoryBook = newDirectoryCache()
    private val feed =
        ControlFeed(settings, { loop.execute(it) }, { gateway.configuration?.version ?: 0 }, ::onFeedUpdate)
    private val crashReporter = CrashReporter(settings, crashes, context::schedule) { feed.current }
    private val directory = DirectoryDuty(directorySource) { reading -> loop.execute { onDirectoryRead(reading) } }
    private var isShuttingDown = false

    @Volatile
    private var seeds = settings.cluster.seedInstances

    /** A configuration from a control instance whose state is not fresh, so that there may be a newer one. */
    private var possiblyOutdated: RouteDocument? = null

    private val isReady: Boolean
        get() = !isShuttingDown && gateway.configuration != null && directoryBook.upstreams != null

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
     * ended or the grace period is nearly over.
     */
    override fun close() {
        loop.execute { isShuttingDown = true }
        GracefulShutdown(loop, callerServer, gateway, settings.gracePeriodMillis).run()
    }

    private fun start() {
        crashes.onReportDue = crashReporter::requestReport
        feed.changeSeeds(settings.cluster.seedInstances)
        // The gateway that this one replaces may be in its grace period.
        val maxWaitMillis = settings.gracePeriodMillis + ListenAddress.MAX_WAIT_MILLIS
        readinessServer.start(settings.readinessListenAddress, maxWaitMillis)
        metricsServer.start(InetSocketAddress(settings.ip, settings.metricsPort), maxWaitMillis)
        callerServer.start(settings.callerListenAddress, maxWaitMillis)
        scheduleRepeatedly(FEED_CHECK_INTERVAL_MILLIS, feed::maintain)
        scheduleRepeatedly(DIRECTORY_CHECK_INTERVAL_MILLIS, ::checkDirectory)
        scheduleRepeatedly(POOL_CHECK_INTERVAL_MILLIS) { pool.closeExpired { dispatcher.recordOrNull(it) != null } }
        loop.execute(feed::maintain)
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
        context.gatewayCount = maxOf(1, update.entryCount)
        budgetSharers.report(context.gatewayCount, isFresh, MonotonicClock.nowMillis())
        logBudgetSharers(update.entryCount, isFresh)
        update.routes?.let { considerConfiguration(it, isFresh) }
        update.crashCounts?.let { crashes.update(it, MonotonicClock.nowMillis()) }
        if (isFresh) possiblyOutdated?.let { considerConfiguration(it, isFresh = true) }
        val ageMillis = update.directoryAgeMillis ?: return
        val readMillis = MonotonicClock.nowMillis() - ageMillis
        val snapshot = update.directory
        if (snapshot == null) {
            directoryBook.confirm(readMillis)
        } else if (directoryBook.replaceUnlessOlder(snapshot.upstreams, readMillis)) {
            dispatcher.updateUpstreams(snapshot.upstreams)
            log.info("directory_changed") {
                field("upstreams", snapshot.upstreams.size)
                field("leaving", snapshot.upstreams.filter { it.isLeaving }.joinToString(",") { it.id.text })
                field("age_ms", ageMillis)
            }
        }
    }

    /**
     * Applies [document] if it is newer than the configuration in force. The first configuration must come from a
     * control instance with fresh state, unless none was found within [FRESH_CONFIGURATION_TIMEOUT_MILLIS].
     */
    private fun considerConfiguration(document: RouteDocument, isFresh: Boolean) {
        val current = gateway.configuration
        val isWaitOver = MonotonicClock.nowMillis() - startedMillis > FRESH_CONFIGURATION_TIMEOUT_MILLIS
        when {
            current != null && document.version <= current.version -> Unit
            current == null && !isFresh && !isWaitOver -> possiblyOutdated = document
            else -> apply(document)
        }
    }

    private fun apply(document: RouteDocument) {
        possiblyOutdated = null
        when (val read = routeReader.read(Gzip.decompress(document.compressed))) {
            is Outcome.Success -> {
                gateway.configuration = read.value
                GatewayMetrics.routesVersion.set(document.version.toDouble())
                log.info("configuration_applied") {
                    field("version", document.version)
                    field("routes", read.value.routes.size)
                }
            }
            is Outcome.Failure -> log.warn("configuration_not_applied") {
                field("version", document.version)
                field("problem", read.error.message)
            }
        }
    }

    private fun checkDirectory() {
        val nowMillis = MonotonicClock.nowMillis()
        GatewayMetrics.directoryAgeSeconds.set((directoryBook.ageMillisOrNull(nowMillis) ?: 0) / MILLIS_PER_SECOND)
        val isWaitOver = nowMillis - startedMillis > FRESH_CONFIGURATION_TIMEOUT_MILLIS
        if (isWaitOver) possiblyOutdated?.let { considerConfiguration(it, isFresh = true) }
        logBudgetSharers(reported = null, isFresh = false)
        if (gateway.configuration != null && directoryBook.markReadStartedIfDue(nowMillis)) directory.poll()
    }

    private fun onDirectoryRead(reading: DirectoryReading) {
        if (directoryBook.replaceUnlessOlder(reading.upstreams, reading.readMillis)) {
            dispatcher.updateUpstreams(reading.upstreams)
        }
        log.info("directory_read") { field("upstreams", reading.upstreams.size) }
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
        private const val FEED_CHECK_INTERVAL_MILLIS = 200L
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

        /** How long a gateway without a configuration waits for one from a control instance with fresh state. */
        private const val FRESH_CONFIGURATION_TIMEOUT_MILLIS = 3_000L

        private val log = EventLog.fromName("entry")

        /** Starts a gateway. */
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
