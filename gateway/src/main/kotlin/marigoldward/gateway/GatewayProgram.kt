package marigoldward.gateway

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import marigoldward.core.Outcome
import marigoldward.core.dispatch.Dispatcher
import marigoldward.core.dispatch.PlacementCosts
import marigoldward.core.dispatch.RetryBudgetShare
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.gateway.caller.CallerServer
import marigoldward.gateway.caller.StatusServer
import marigoldward.gateway.control.ControlFeed
import marigoldward.gateway.session.Gateway
import marigoldward.gateway.session.ServingContext
import marigoldward.gateway.upstream.UpstreamPool
import marigoldward.support.bytes.Gzip
import marigoldward.support.directory.DirectoryCache
import marigoldward.support.directory.DirectoryDuty
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.directory.DirectorySource
import marigoldward.support.log.EventLog
import marigoldward.support.metrics.MetricsPage
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.FeedUpdate
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** One running entry that forwards opaque requests. Everything but readings of the directory runs on one loop. */
public class GatewayProgram private constructor(
    private val settings: GatewaySettings,
    private val reader: RouteDocumentReader,
    directorySource: DirectorySource,
    dialect: Dialect,
) : AutoCloseable {
    private val group = NioEventLoopGroup(1, DefaultThreadFactory("loop", true))
    private val loop: EventLoop = group.next()
    private val random = Random(System.nanoTime())
    private val dispatcher = Dispatcher(settings.dataCentre, PlacementCosts.DEFAULT, random.nextLong())
    private val pool = UpstreamPool(loop, dialect)
    private val context = ServingContext(loop, dialect, dispatcher, pool, ::newAllowance)
    private val gateway = Gateway(context, random)
    private val callers = CallerServer(loop, ::limits, gateway::handle)
    private val readiness = StatusServer(loop, ::readinessPage)
    private val metrics = StatusServer(loop, ::metricsPage)
    private val book = newBook()
    private val feed = ControlFeed(settings, { loop.execute(it) }, { gateway.configuration?.version ?: 0 }, ::updated)
    private val directory = DirectoryDuty(directorySource) { reading -> loop.execute { directoryRead(reading) } }
    private val startedMillis = MonotonicClock.nowMillis()
    private var isEnding = false

    /** A configuration that a control instance told that may have missed newer ones. */
    private var doubtful: RouteDocument? = null

    private val isReady: Boolean get() = !isEnding && gateway.configuration != null && book.upstreams != null

    /** Uses [seeds] from now on. */
    public fun changeSeeds(seeds: List<InstanceId>): Unit = loop.execute { feed.changeSeeds(seeds) }

    /** Ends without cutting a request: not ready first, then answers close their connections, then the idle ones go. */
    override fun close() {
        val endMillis = MonotonicClock.nowMillis() + settings.graceMillis - GRACE_MARGIN_MILLIS
        onLoop {
            isEnding = true
            callers.isDraining = true
        }
        log.info("ending")
        Thread.sleep(minOf(settings.graceMillis / 2, UNREADY_MILLIS))
        onLoop(callers::closeIdle)
        while (MonotonicClock.nowMillis() < endMillis && isBusy()) Thread.sleep(DRAIN_POLL_MILLIS)
        onLoop {
            callers.stopListening()
            callers.closeIdle()
        }
        Thread.sleep(LAST_BYTES_MILLIS)
        log.info("ended") { field("requests_left", isBusy()) }
    }

    private fun isBusy(): Boolean {
        var busy = false
        onLoop { busy = callers.isBusy }
        return busy
    }

    private fun onLoop(action: () -> Unit) {
        val done = CountDownLatch(1)
        loop.execute {
            action()
            done.countDown()
        }
        done.await(LOOP_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun start() {
        feed.changeSeeds(settings.cluster.seedInstances)
        readiness.start(settings.readyListen)
        metrics.start(InetSocketAddress(settings.ip, settings.metricsPort))
        callers.start(settings.callerListen)
        every(FEED_MILLIS, feed::maintain)
        every(DIRECTORY_MILLIS, ::checkDirectory)
        every(POOL_MILLIS) { pool.closeOld { dispatcher.recordOrNull(it) != null } }
        loop.execute(feed::maintain)
    }

    private fun every(periodMillis: Long, action: () -> Unit) {
        loop.scheduleWithFixedDelay(action, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
    }

    private fun newAllowance(): RetryBudgetShare =
        RetryBudgetShare(settings.repeatRatio, settings.repeatSlack, settings.repeatWindowMillis)

    private fun limits(): CallerLimits = gateway.configuration?.limits ?: CallerLimits.DEFAULT

    private fun updated(update: FeedUpdate, isFresh: Boolean) {
        context.entries = maxOf(1, update.entryCount)
        update.routes?.let { offered(it, isFresh) }
        if (isFresh) doubtful?.let { offered(it, isFresh = true) }
        val ageMillis = update.directoryAgeMillis ?: return
        val readMillis = MonotonicClock.nowMillis() - ageMillis
        val snapshot = update.directory
        if (snapshot == null) {
            book.confirm(readMillis)
        } else if (book.take(snapshot.upstreams, readMillis)) {
            dispatcher.updateUpstreams(snapshot.upstreams)
            log.info("directory_changed") {
                field("upstreams", snapshot.upstreams.size)
                field("leaving", snapshot.upstreams.filter { it.isLeaving }.joinToString(",") { it.id.text })
                field("age_ms", ageMillis)
            }
        }
    }

    /** The first configuration comes from an instance that can't have missed a newer one, unless none is found. */
    private fun offered(document: RouteDocument, isFresh: Boolean) {
        val current = gateway.configuration
        val isLost = MonotonicClock.nowMillis() - startedMillis > DOUBT_MILLIS
        when {
            current != null && document.version <= current.version -> Unit
            current == null && !isFresh && !isLost -> doubtful = document
            else -> apply(document)
        }
    }

    private fun apply(document: RouteDocument) {
        doubtful = null
        when (val read = reader.read(Gzip.decompress(document.compressed))) {
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
        GatewayMetrics.directoryAge.set((book.ageMillisOrNull(nowMillis) ?: 0) / MILLIS_PER_SECOND)
        val isLost = nowMillis - startedMillis > DOUBT_MILLIS
        if (isLost) doubtful?.let { offered(it, isFresh = true) }
        if (gateway.configuration != null && book.shouldRead(nowMillis)) directory.poll()
    }

    private fun directoryRead(reading: DirectoryReading) {
        if (book.take(reading.upstreams, reading.readMillis)) dispatcher.updateUpstreams(reading.upstreams)
        log.info("directory_read") { field("upstreams", reading.upstreams.size) }
    }

    private fun newBook(): DirectoryCache {
        val spreadMillis = random.nextLong(MAX_SPREAD_MILLIS)
        return DirectoryCache(OLD_DIRECTORY_MILLIS + spreadMillis, OWN_DIRECTORY_MILLIS + spreadMillis)
    }

    private fun readinessPage(): StatusServer.Page =
        if (isReady) StatusServer.Page(OK, TEXT, "ready\n") else StatusServer.Page(UNAVAILABLE, TEXT, "not ready\n")

    private fun metricsPage(): StatusServer.Page {
        val current = MetricsPage.current()
        return StatusServer.Page(OK, current.contentType, current.text)
    }

    /** Starts entries. */
    public companion object {
        private const val OK = 200
        private const val UNAVAILABLE = 503
        private const val TEXT = "text/plain"
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val FEED_MILLIS = 200L
        private const val DIRECTORY_MILLIS = 300L
        private const val POOL_MILLIS = 500L

        /** The age of the list at which an entry no longer waits for control, in milliseconds: it missed a reading. */
        private const val OLD_DIRECTORY_MILLIS = 1_500L

        /** How often an entry reads the list that is on its own, in milliseconds. */
        private const val OWN_DIRECTORY_MILLIS = 1_000L

        /** The most by which entries spread what they do when they miss the list together, in milliseconds. */
        private const val MAX_SPREAD_MILLIS = 400L

        /** How long an entry looks for a control instance that is surely up to date, in milliseconds. */
        private const val DOUBT_MILLIS = 3_000L

        /** Until whoever asks for readiness has missed it twice and sends no new callers, in milliseconds. */
        private const val UNREADY_MILLIS = 2_500L

        /** Left of the grace for the process to end by itself, in milliseconds. */
        private const val GRACE_MARGIN_MILLIS = 800L
        private const val DRAIN_POLL_MILLIS = 50L
        private const val LAST_BYTES_MILLIS = 200L
        private const val LOOP_MILLIS = 1_000L
        private val log = EventLog.fromName("entry")

        /** Starts an entry. */
        public fun start(
            settings: GatewaySettings,
            reader: RouteDocumentReader,
            directory: DirectorySource,
            dialect: Dialect,
        ): GatewayProgram {
            val program = GatewayProgram(settings, reader, directory, dialect)
            program.start()
            log.info("started") {
                field("entry", settings.id)
                field("seeds", settings.cluster.seedInstances.joinToString(","))
            }
            return program
        }
    }
}
