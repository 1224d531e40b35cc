package marigoldward.gateway.control

import io.grpc.stub.ServerCallStreamObserver
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument
import marigoldward.support.program.KeyFile
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.SendingTime
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcServer
import marigoldward.wire.rpc.ServiceBuilder
import java.io.Closeable
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * A control instance at [ip] that sends [document] and a list of [upstreams] to the entries that watch it.
 *
 * @param staleMillis the longest time for which it says that it may have missed changes
 */
internal class FakeControl(
    ip: String,
    rpcPort: Int,
    private var document: RouteDocument?,
    private val upstreams: List<ListedUpstream> = emptyList(),
    private val staleMillis: Long = 0,
) : Closeable {
    private val lock = Any()
    private val watchers = HashMap<ServerCallStreamObserver<FeedUpdate>, Long>()
    private val clockId = Random.nextLong()
    private val clockOffsetMillis = Random.nextLong(1_000_000_000)
    private var isStopped = false
    private var delayMillis = 0L
    private var delayGrowthMillis = 0L
    private var maxDelayMillis = 0L
    private val timer = Executors.newSingleThreadScheduledExecutor()
    private val server = RpcServer.start(
        InetSocketAddress(ip, rpcPort),
        IDENTITY,
        listOf(ServiceBuilder.named(FeedRpc.SERVICE).serverStreaming(FeedRpc.WATCH, ::watch).build()),
    )

    /** How many streams were opened. */
    var watchCount = 0
        private set

    /** How many streams are open. */
    val openCount: Int get() = synchronized(lock) { watchers.keys.count { !it.isCancelled } }

    init {
        timer.scheduleAtFixedRate(::sendHeartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Puts [newDocument] in force and sends it at once. */
    fun put(newDocument: RouteDocument) {
        synchronized(lock) { document = newDocument }
        sendToAll()
    }

    /** Sends and answers nothing more on the connections, which stay open. */
    fun stop() = synchronized(lock) { isStopped = true }

    /** Lets each heartbeat be under way for [growthMillis] longer than the one before, up to [maxMillis]. */
    fun slowDown(growthMillis: Long, maxMillis: Long) = synchronized(lock) {
        delayGrowthMillis = growthMillis
        maxDelayMillis = maxMillis
    }

    /** Ends the open streams as a process does that closes its connections. */
    fun endStreams() = synchronized(lock) { watchers.keys.forEach { it.onCompleted() } }

    override fun close() {
        timer.shutdownNow()
        server.close()
    }

    private fun watch(request: WatchRequest, stream: ServerCallStreamObserver<FeedUpdate>) {
        synchronized(lock) {
            watchCount++
            watchers[stream] = request.routesVersion
            stream.setOnCancelHandler { synchronized(lock) { watchers.remove(stream) } }
            if (!isStopped) send(stream, DirectorySnapshot(upstreams))
        }
    }

    private fun sendHeartbeat() = synchronized(lock) {
        delayMillis = minOf(maxDelayMillis, delayMillis + delayGrowthMillis)
        sendToAll()
    }

    private fun sendToAll() = synchronized(lock) {
        if (!isStopped) watchers.keys.filter { !it.isCancelled }.forEach { send(it, null) }
    }

    private fun send(stream: ServerCallStreamObserver<FeedUpdate>, directory: DirectorySnapshot?) {
        val newer = document?.takeIf { it.version > checkNotNull(watchers[stream]) }
        if (newer != null) watchers[stream] = newer.version
        val update = FeedUpdate(
            routes = newer,
            directory = directory,
            directoryAgeMillis = 0,
            maxStalenessMillis = staleMillis,
            entryCount = 1,
            members = emptyList<InstanceId>(),
            dataCentre = DATA_CENTRE,
            sentAt = SendingTime(clockId, MonotonicClock.nowMillis() + clockOffsetMillis),
        )
        if (delayMillis == 0L) return stream.onNext(update)
        timer.schedule({ synchronized(lock) { stream.onNext(update) } }, delayMillis, TimeUnit.MILLISECONDS)
    }

    companion object {
        val IDENTITY = ClusterIdentity("tests", KeyFile.fromSecret("a-key-of-the-tests"))
        val DATA_CENTRE = DataCentre.parse("here")
        private const val HEARTBEAT_MILLIS = 400L
    }
}
