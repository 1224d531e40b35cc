package marigoldward.gateway.control

import io.grpc.stub.ServerCallStreamObserver
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.Outcome
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RequestKind
import marigoldward.core.routes.Route
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.core.routes.ServiceDeclaration
import marigoldward.core.routes.ServiceShare
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.GatewayProgram
import marigoldward.gateway.GatewaySettings
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestDialect
import marigoldward.support.bytes.Gzip
import marigoldward.support.net.FreePorts
import marigoldward.support.program.KeyFile
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.SendingTime
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.rpc.ClusterAccess
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcServer
import marigoldward.wire.rpc.ServiceBuilder
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private val HERE = DataCentre.parse("here")
private val SERVICE = PoolName.parse("service")
private val IDENTITY = ClusterIdentity("test", KeyFile.fromSecret("a key of the tests"))
private const val AWAIT_NANOS = 10_000_000_000
private const val VERSION = 1L
private const val HEARTBEAT_MILLIS = 300L

private val ROUTE = Route(
    name = "route",
    host = "h.example",
    pathPrefix = "/i/",
    kind = RequestKind.IDEMPOTENT,
    shares = listOf(ServiceShare(SERVICE, 1)),
    timeoutMillis = 1_500,
    targetLatencyMillis = 1_000,
    targetGapMillis = 200,
    priority = 1,
    maxAttempts = 2,
    isResumable = false,
    hasPrompts = false,
)

/** An upstream that answers with its name. */
private class NamedUpstream(val name: String) : AutoCloseable {
    private val server = FakeUpstream { it.respond(name) }
    val listed: ListedUpstream =
        ListedUpstream(UpstreamId.parse(name), SERVICE, server.address, HERE, 6, false, false, null)

    override fun close() = server.close()
}

/** A gateway that follows a control instance whose updates the test makes and sends; heartbeats come in between. */
private class FollowingGateway(ownList: List<ListedUpstream>) : AutoCloseable {
    private val streams = LinkedBlockingQueue<ServerCallStreamObserver<FeedUpdate>>()
    private val service = ServiceBuilder
        .named(FeedRpc.SERVICE)
        .serverStreaming(FeedRpc.WATCH) { _: WatchRequest, stream -> streams.put(stream) }
        .build()
    private val server = RpcServer.start(InetSocketAddress("127.0.0.1", 0), IDENTITY, listOf(service))
    private val callerPort = FreePorts.next()
    private val program = GatewayProgram.start(
        GatewaySettings(
            id = InstanceId.parse("gateway"),
            dataCentre = HERE,
            ip = "127.0.0.1",
            callerListenAddress = InetSocketAddress("127.0.0.1", callerPort),
            readinessListenAddress = InetSocketAddress("127.0.0.1", FreePorts.next()),
            metricsPort = FreePorts.next(),
            cluster = ClusterAccess(listOf(InetSocketAddress("127.0.0.1", 1)), server.port, IDENTITY),
            directoryAddress = InetSocketAddress("127.0.0.1", 1),
            gracePeriodMillis = 1_000,
            retryBudgetRatio = 0.2,
            retryBudgetSlack = 50,
            retryBudgetWindowMillis = 10_000,
        ),
        RouteDocumentReader {
            RouteConfiguration
                .check(VERSION, listOf(ROUTE), listOf(ServiceDeclaration(SERVICE, 100, null)), CallerLimits.DEFAULT)
        },
        { Outcome.Success(ownList) },
        TestDialect,
    )
    private val stream = checkNotNull(streams.poll(10, TimeUnit.SECONDS)) { "the gateway follows no control instance" }
    private var readMillis: Long? = null
    private val timer = Executors.newSingleThreadScheduledExecutor().apply {
        scheduleAtFixedRate(::sendHeartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Makes an update now. It has the [list] of upstreams, or refers to the one sent last if that is null. */
    fun update(list: List<ListedUpstream>?, ageMillis: Long = 0): FeedUpdate = FeedUpdate(
        routes = RouteDocument(VERSION, Gzip.compress(byteArrayOf(1))),
        directory = list?.let(::DirectorySnapshot),
        directoryAgeMillis = ageMillis,
        maxStalenessMillis = 0,
        entryCount = 1,
        members = emptyList(),
        dataCentre = HERE,
        sentAt = SendingTime(MonotonicClock.id, MonotonicClock.nowMillis()),
    )

    @Synchronized
    fun send(update: FeedUpdate) {
        readMillis = checkNotNull(update.sentAt).millis - checkNotNull(update.directoryAgeMillis)
        stream.onNext(update)
    }

    /** Keeps the gateway on this stream. Says that the list sent last has not been read again. */
    @Synchronized
    private fun sendHeartbeat() {
        readMillis?.let { stream.onNext(update(null, MonotonicClock.nowMillis() - it)) }
    }

    /** Returns the name of the upstream that answers the next request, or the status of the gateway's own response. */
    fun answeredBy(): String = RawCaller(callerPort).use { caller ->
        caller.send("GET /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n\r\n")
        val response = checkNotNull(caller.readResponse())
        if (response.status == 200) response.body else response.status.toString()
    }

    fun awaitAnsweredBy(name: String) {
        val endNanos = System.nanoTime() + AWAIT_NANOS
        while (answeredBy() != name) {
            check(System.nanoTime() < endNanos) { "$name does not answer" }
            Thread.sleep(20)
        }
    }

    override fun close() {
        timer.shutdownNow()
        program.close()
        server.close()
    }
}

class DirectoryOrderTest :
    DescribeSpec({
        describe("a gateway that has read the list of upstreams itself") {
            // Guards against a list that was under way for seconds and is taken for newer than one read meanwhile.
            it("ignores an older one that a control instance sent before and that comes late") {
                NamedUpstream("old").use { old ->
                    NamedUpstream("new").use { new ->
                        FollowingGateway(ownList = listOf(new.listed)).use { gateway ->
                            gateway.send(gateway.update(listOf(old.listed.copy(slots = 5))))
                            gateway.awaitAnsweredBy("old")
                            val late = gateway.update(listOf(old.listed))
                            gateway.awaitAnsweredBy("new")
                            gateway.send(late)
                            Thread.sleep(200)
                            gateway.answeredBy() shouldBe "new"
                        }
                    }
                }
            }
            // Guards against "the list is unchanged" being taken for the gateway's list, which another process has sent.
            it("uses the list that a control instance refers to, although that was refused when it came") {
                NamedUpstream("first").use { first ->
                    NamedUpstream("own").use { own ->
                        NamedUpstream("sent").use { sent ->
                            FollowingGateway(ownList = listOf(own.listed)).use { gateway ->
                                gateway.send(gateway.update(listOf(first.listed)))
                                gateway.awaitAnsweredBy("own")
                                gateway.send(gateway.update(listOf(sent.listed), ageMillis = 10_000))
                                Thread.sleep(200)
                                gateway.answeredBy() shouldBe "own"
                                gateway.send(gateway.update(null))
                                Thread.sleep(200)
                                gateway.answeredBy() shouldBe "sent"
                            }
                        }
                    }
                }
            }
        }
    })
