package marigoldward.control.feed

import io.grpc.stub.StreamObserver
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.control.replica.PublishedStatus
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.support.program.KeyFile
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.WatchRequest
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import marigoldward.wire.rpc.RpcServer
import java.io.Closeable
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private val IDENTITY = ClusterIdentity("tests", KeyFile.fromSecret("a-key-of-the-tests"))
private val SELF = InstanceId.parse("127.0.0.1")

/** The feed of a control instance that leads, with the entries that watch it. */
private class WatchedFeed : Closeable {
    @Volatile
    var staleMillis = 0L
    private val feed = EntryFeed(DataCentre.parse("here"), CrashReports({ _, _ -> true }, ::status), ::status)
    private val server = RpcServer.start(InetSocketAddress("127.0.0.1", 0), IDENTITY, listOf(feed.service))
    private val clients = HashMap<String, RpcClient>()

    val entryCount: Int get() = feed.entryCountToShare()

    /** Lets [entry] watch the instance, and returns when the first update has arrived. */
    fun watch(entry: String) {
        val updates = LinkedBlockingQueue<FeedUpdate>()
        val client = RpcClient.to(InetSocketAddress("127.0.0.1", server.port), IDENTITY)
        client.openStream(
            FeedRpc.WATCH,
            WatchRequest(InstanceId.parse(entry), 0),
            object : StreamObserver<FeedUpdate> {
                override fun onNext(value: FeedUpdate) = updates.put(value)

                override fun onError(failure: Throwable) = Unit

                override fun onCompleted() = Unit
            },
        )
        checkNotNull(updates.poll(5, TimeUnit.SECONDS)) { "no update for $entry" }
        clients[entry] = client
    }

    fun leave(entry: String) = clients.getValue(entry).close()

    fun heartbeat() = feed.sendHeartbeats()

    override fun close() {
        clients.values.forEach(RpcClient::close)
        server.close()
    }

    private fun status() = PublishedStatus(
        leader = SELF,
        isLeader = true,
        term = 1,
        members = listOf(SELF),
        isMember = true,
        lastUpToDateMillis = MonotonicClock.nowMillis() - staleMillis,
    )
}

class EntryFeedTest :
    DescribeSpec({
        describe("the number of entries") {
            it("has those that stay") {
                WatchedFeed().use { feed ->
                    listOf("entry-1", "entry-2").forEach(feed::watch)
                    Thread.sleep(600)
                    feed.entryCount shouldBe 2
                    feed.staleMillis = 5_000
                    feed.heartbeat()
                    feed.entryCount shouldBe 2
                }
            }
            // Guards against entries that count several times while they look for an instance with fresh state.
            it("lacks those that try this instance and leave it") {
                WatchedFeed().use { feed ->
                    feed.staleMillis = 5_000
                    feed.watch("entry-1")
                    Thread.sleep(600)
                    feed.entryCount shouldBe 0
                    feed.staleMillis = 0
                    feed.heartbeat()
                    feed.entryCount shouldBe 0
                    feed.leave("entry-1")
                    Thread.sleep(600)
                    feed.entryCount shouldBe 0
                }
            }
        }
    })
