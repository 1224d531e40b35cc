package marigoldward.gateway.upstream

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelInitializer
import io.netty.channel.nio.NioEventLoopGroup
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.TestDialect
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.RequestHead
import marigoldward.gateway.message.ResponseHead
import marigoldward.support.settings.parseAddressOrNull
import java.io.Closeable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** How long the tests wait for an event that must not come. */
private const val QUIET_MILLIS = 200L

private fun listed(upstream: FakeUpstream) = ListedUpstream(
    UpstreamId.parse("upstream"),
    PoolName.parse("service"),
    upstream.address,
    DataCentre.parse("here"),
    6,
    false,
    false,
    null,
)

/** Collects what a call receives; its end is `end` or the failure. */
private class Recorder : UpstreamListener {
    private val ends = LinkedBlockingQueue<Any>()

    override fun onHead(head: ResponseHead) = Unit

    override fun onData(data: ByteArray) = Unit

    override fun onEnd() {
        ends.add("end")
    }

    override fun onFailure(failure: UpstreamFailure) {
        ends.add(failure)
    }

    fun awaitEnd(): Any? = ends.poll(3, TimeUnit.SECONDS)

    fun endOrNull(): Any? = ends.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)
}

private fun call(upstream: FakeUpstream, id: String, listener: UpstreamListener): UpstreamCall {
    val head = RequestHead("GET", "/", Headers.of("Host" to "h.example", "X-Id" to id))
    return UpstreamCall(listed(upstream), head, ByteArray(0), id, UpstreamCall.ConnectionReuse.ANY, listener)
}

private object IgnoringOwner : UpstreamConnection.Owner {
    override fun onIdle(connection: UpstreamConnection) = Unit

    override fun onClosed(connection: UpstreamConnection) = Unit

    override fun onResponse(bearsRequestId: Boolean) = Unit
}

private class TestLoop : Closeable {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    val pool = UpstreamPool(loop, TestDialect)

    fun <T> run(action: () -> T): T = loop.submit(action).get()

    /** Opens a connection outside the pool. */
    fun connect(upstream: FakeUpstream): UpstreamConnection {
        val initializer = object : ChannelInitializer<UpstreamChannel>() {
            override fun initChannel(channel: UpstreamChannel) {
                val sent = SentRequests(TestDialect)
                val decoder = ResponseDecoder(sent)
                val id = UpstreamId.parse("u")
                channel.pipeline().addLast(decoder, UpstreamConnection(id, channel, sent, decoder, IgnoringOwner))
            }
        }
        val bootstrap = Bootstrap().group(loop).channelFactory(ChannelFactory { UpstreamChannel() })
        val channel = bootstrap.handler(initializer).connect(parseAddressOrNull(upstream.address)).sync().channel()
        return channel.pipeline().get(UpstreamConnection::class.java)
    }

    override fun close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
    }
}

class UpstreamCallTest :
    DescribeSpec({
        describe("a call that has ended") {
            // Guards against a caller that leaves and cuts off the response to another caller's request.
            it("leaves the call that its connection carries next alone when it is cancelled") {
                val gate = CountDownLatch(1)
                FakeUpstream {
                    if (it.id == "second") gate.await()
                    it.respond("done")
                }.use { upstream ->
                    TestLoop().use { loop ->
                        val firstEnd = Recorder()
                        val first = call(upstream, "first", firstEnd)
                        loop.run { loop.pool.send(first) }
                        firstEnd.awaitEnd() shouldBe "end"
                        val secondEnd = Recorder()
                        loop.run { loop.pool.send(call(upstream, "second", secondEnd)) }
                        loop.run { first.cancel() }
                        gate.countDown()
                        secondEnd.awaitEnd() shouldBe "end"
                        upstream.calls.map { it.numberOnConnection } shouldBe listOf(0, 1)
                        upstream.closedRequestIds.toList().shouldBeEmpty()
                    }
                }
            }
            it("leaves its idle connection open when it is cancelled") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    TestLoop().use { loop ->
                        val first = Recorder().let { end ->
                            call(upstream, "first", end).also {
                                loop.run { loop.pool.send(it) }
                                end.awaitEnd() shouldBe "end"
                            }
                        }
                        loop.run { first.cancel() }
                        val secondEnd = Recorder()
                        loop.run { loop.pool.send(call(upstream, "second", secondEnd)) }
                        secondEnd.awaitEnd() shouldBe "end"
                        upstream.calls.map { it.numberOnConnection } shouldBe listOf(0, 1)
                    }
                }
            }
        }
        describe("a call in progress") {
            // Guards against a request that gets no answer because its connection was closed without a callback.
            it("ends with a failure when its connection is closed") {
                FakeUpstream { }.use { upstream ->
                    TestLoop().use { loop ->
                        val connection = loop.connect(upstream)
                        val end = Recorder()
                        loop.run { connection.send(call(upstream, "first", end)) }
                        loop.run { connection.close() }
                        end.awaitEnd().shouldNotBeNull() shouldBe UpstreamFailure.Closed
                        end.endOrNull().shouldBeNull()
                    }
                }
            }
            it("gets no callback when it is cancelled, and its upstream notices") {
                FakeUpstream { }.use { upstream ->
                    TestLoop().use { loop ->
                        val connection = loop.connect(upstream)
                        val end = Recorder()
                        val current = call(upstream, "first", end)
                        loop.run { connection.send(current) }
                        while (upstream.calls.isEmpty()) Thread.sleep(5)
                        loop.run { current.cancel() }
                        upstream.awaitClosed() shouldBe "first"
                        end.endOrNull().shouldBeNull()
                    }
                }
            }
        }
    })
