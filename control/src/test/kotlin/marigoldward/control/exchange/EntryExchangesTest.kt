package marigoldward.control.exchange

import io.grpc.stub.StreamObserver
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.control.replica.PublishedStatus
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.control.replica.RoutesReply
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument
import marigoldward.support.duty.Duty
import marigoldward.support.net.FreePorts
import marigoldward.support.program.KeyFile
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest
import marigoldward.wire.feed.ExchangeRpc
import marigoldward.wire.rpc.ClusterAccess
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import marigoldward.wire.rpc.RpcServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val WAIT_SECONDS = 20L
private const val SILENT_MILLIS = 300L
private const val LEADER = "127.0.86.1"
private const val FOLLOWER = "127.0.86.2"
private const val OTHER = "127.0.86.3"
private val IDENTITY = ClusterIdentity("tests", KeyFile.fromSecret("a-key-of-the-tests"))
private val REQUEST = EntryExchangeRequest(InstanceId.parse("entry-1"), 1, 1, 0)

private fun current(version: Long) = RoutesReply.Current(RouteDocument(version, ByteArray(0)))

/** A control instance at [ip] that believes [leader] to lead; the test answers the reads of its replica. */
private class Instance(private val ip: String, private val port: Int, private val leader: String?) : AutoCloseable {
    private val cluster = ClusterAccess(emptyList(), port, IDENTITY)

    /** The reads that wait for a majority. */
    val reads = LinkedBlockingQueue<(RoutesReply) -> Unit>()
    private val replica = Duty.start<ReplicaDutyEvent>("replica-$ip", 1_024) { events ->
        events.filterIsInstance<ReplicaDutyEvent.ReadRoutes>().forEach { reads.add(it.answer) }
    }
    private val status =
        PublishedStatus(leader?.let(InstanceId::parse), leader == ip, 7, emptyList(), isMember = true, 0)
    val exchanges = EntryExchanges(cluster, replica, emptyList()) { status }
    private val server = RpcServer.start(InetSocketAddress(ip, port), IDENTITY, listOf(exchanges.service))
    private val client = RpcClient.to(InetSocketAddress(ip, port), IDENTITY)

    fun ask(request: EntryExchangeRequest = REQUEST): CompletableFuture<EntryExchangeReply> {
        val reply = CompletableFuture<EntryExchangeReply>()
        val observer = object : StreamObserver<EntryExchangeReply> {
            override fun onNext(value: EntryExchangeReply) {
                reply.complete(value)
            }

            override fun onError(failure: Throwable) {
                reply.completeExceptionally(failure)
            }

            override fun onCompleted() = Unit
        }
        client.callAsync(ExchangeRpc.EXCHANGE, request, WAIT_SECONDS * 1_000, observer)
        return reply
    }

    /** Calls [EntryExchanges.replyToWaiting] as the timer does until a read starts, and returns it. */
    fun nextRead(): (RoutesReply) -> Unit = checkNotNull(nextReadOrNull(WAIT_SECONDS * 1_000)) { "no read has started" }

    fun nextReadOrNull(waitMillis: Long): ((RoutesReply) -> Unit)? {
        val endNanos = System.nanoTime() + waitMillis * 1_000_000
        while (System.nanoTime() < endNanos) {
            exchanges.replyToWaiting()
            reads.poll(20, TimeUnit.MILLISECONDS)?.let { return it }
        }
        return null
    }

    override fun close() {
        client.close()
        server.close()
        exchanges.close()
        replica.close()
    }
}

private fun <T> CompletableFuture<T>.await(): T = get(WAIT_SECONDS, TimeUnit.SECONDS)

class EntryExchangesTest :
    DescribeSpec({
        describe("the leader") {
            it("replies with the version that was in force when a majority had confirmed it") {
                Instance(LEADER, FreePorts.next(), LEADER).use { leader ->
                    val reply = leader.ask()
                    val read = leader.nextRead()
                    reply.isDone shouldBe false
                    read(current(5))
                    reply.await() shouldBe EntryExchangeReply(true, 5, InstanceId.parse(LEADER), 7)
                }
            }
            // Guards against a confirmation from before the request, which an acknowledged change may have followed.
            it("confirms itself again for a request that arrives during a confirmation") {
                Instance(LEADER, FreePorts.next(), LEADER).use { leader ->
                    val first = leader.ask()
                    val firstRead = leader.nextRead()
                    val second = leader.ask()
                    leader.nextReadOrNull(SILENT_MILLIS).shouldBeNull()
                    firstRead(current(5))
                    first.await().routesVersion shouldBe 5
                    leader.nextRead()(current(6))
                    second.await().routesVersion shouldBe 6
                }
            }
            // Guards against a version that a replaced leader believes to be the newest.
            it("confirms nothing without a majority, and goes on with later requests") {
                Instance(LEADER, FreePorts.next(), LEADER).use { leader ->
                    val refused = leader.ask()
                    leader.nextRead()(RoutesReply.NotLeader(InstanceId.parse(OTHER)))
                    refused.await() shouldBe EntryExchangeReply(false, leader = InstanceId.parse(OTHER))
                    leader.ask()
                    val unanswered = leader.nextRead()
                    val later = leader.ask()
                    leader.nextRead()(current(6))
                    later.await().routesVersion shouldBe 6
                    unanswered(RoutesReply.NotLeader(null))
                }
            }
            // Guards against requests that accumulate in memory while none is answered.
            it("refuses requests beyond a bound at once") {
                Instance(LEADER, FreePorts.next(), LEADER).use { leader ->
                    val replies = List(2_100) { leader.ask() }
                    CompletableFuture.anyOf(*replies.toTypedArray()).await()
                    replies.first { it.isDone }.await().isConfirmed shouldBe false
                }
            }
        }
        describe("an instance that follows") {
            it("passes a request on to the leader, and its reply back") {
                val port = FreePorts.next()
                Instance(LEADER, port, LEADER).use { leader ->
                    Instance(FOLLOWER, port, LEADER).use { follower ->
                        val reply = follower.ask()
                        leader.nextRead()(current(9))
                        reply.await() shouldBe EntryExchangeReply(true, 9, InstanceId.parse(LEADER), 7)
                    }
                }
            }
            // Guards against requests that two instances pass to each other without end.
            it("passes no request on that was passed on to it") {
                val port = FreePorts.next()
                Instance(FOLLOWER, port, OTHER).use {
                    Instance(LEADER, port, FOLLOWER).use { mistaken ->
                        mistaken.ask().await() shouldBe EntryExchangeReply(false, leader = InstanceId.parse(OTHER))
                    }
                }
            }
            it("confirms nothing if it knows no leader") {
                Instance(FOLLOWER, FreePorts.next(), null).use {
                    it.ask().await() shouldBe EntryExchangeReply(false)
                }
            }
            // Guards against requests that wait for ever, and a client that does not find its leader again.
            it("replies though the leader does not, and finds it when it is back") {
                val port = FreePorts.next()
                Instance(FOLLOWER, port, LEADER).use { follower ->
                    ServerSocket(port, 50, InetAddress.getByName(LEADER)).use {
                        repeat(3) { follower.ask().await().isConfirmed shouldBe false }
                    }
                    repeat(3) { follower.ask().await().isConfirmed shouldBe false }
                    Instance(LEADER, port, LEADER).use { leader ->
                        val endNanos = System.nanoTime() + WAIT_SECONDS * 1_000_000_000
                        var confirmed: EntryExchangeReply? = null
                        while (confirmed == null && System.nanoTime() < endNanos) {
                            val reply = follower.ask()
                            leader.nextReadOrNull(SILENT_MILLIS)?.invoke(current(3))
                            confirmed = reply.await().takeIf { it.isConfirmed }
                        }
                        confirmed.shouldNotBeNull().routesVersion shouldBe 3
                    }
                }
            }
        }
    })
