package marigoldward.gateway.upstream

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.ChannelException
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
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private fun answer(id: String?, body: String): String =
    "HTTP/1.1 200 OK\r\n" + id?.let { "X-Id: $it\r\n" }.orEmpty() + "Content-Length: ${body.length}\r\n\r\n$body"

/** Collects the body of a response; runs [atEnd] when that has ended, before anything else happens. */
private class BodyListener(private val atEnd: () -> Unit = {}) : UpstreamListener {
    private val received = StringBuilder()
    val body = CompletableFuture<String>()

    override fun onHead(head: ResponseHead) = Unit

    override fun onData(data: ByteArray) {
        received.append(data.decodeToString())
    }

    override fun onEnd() {
        atEnd()
        body.complete(received.toString())
    }

    override fun onFailure(failure: UpstreamFailure) {
        body.complete("failed")
    }
}

private fun call(upstream: FakeUpstream, id: String, listener: UpstreamListener) = UpstreamCall(
    ListedUpstream(
        UpstreamId.parse("upstream"),
        PoolName.parse("service"),
        upstream.address,
        DataCentre.parse("here"),
        slots = 1,
        isLeaving = false,
        isCold = false,
        stage = null,
    ),
    RequestHead("GET", "/x", Headers.of("X-Id" to id)),
    ByteArray(0),
    id,
    UpstreamCall.ConnectionReuse.ANY,
    listener,
)

/** The body that the second call gets, which is sent when the first ends, on [first]. */
private fun secondBody(first: String): String {
    val group = NioEventLoopGroup(1)
    val script: (FakeUpstream.Call) -> Unit = { call ->
        if (call.id == "1") {
            call.write(first)
        } else {
            Thread.sleep(50)
            call.write(answer("2", "own"))
        }
    }
    return FakeUpstream(script).use { upstream ->
        val pool = UpstreamPool(group.next(), TestDialect)
        val second = BodyListener()
        group.next().execute {
            pool.send(call(upstream, "1", BodyListener { pool.send(call(upstream, "2", second)) }))
        }
        second.body.get(5, TimeUnit.SECONDS).also { group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync() }
    }
}

class UpstreamPoolTest :
    DescribeSpec({
        // Guards against bytes that were received before a request was sent and are taken for its answer.
        describe("a call that is sent when another one ends") {
            it("gets its own answer if a second one without a request id came with the first") {
                secondBody(answer("1", "first") + answer(null, "again")) shouldBe "own"
            }
            it("gets its own answer if one with its request id came before it was sent") {
                secondBody(answer("1", "first") + answer("2", "early")) shouldBe "own"
            }
            it("gets its own answer if other bytes came with the first") {
                secondBody(answer("1", "first") + "garbage garbage\r\n\r\n") shouldBe "own"
            }
        }
        // Guards against sessions that are changed by two threads, as a failure to create a channel came from another one.
        describe("a call without a descriptor for its connection") {
            it("fails on the event loop thread") {
                val group = NioEventLoopGroup(1)
                val loop = group.next()
                val isOnLoop = CompletableFuture<Boolean>()
                val listener = object : UpstreamListener by BodyListener() {
                    override fun onFailure(failure: UpstreamFailure) {
                        isOnLoop.complete(loop.inEventLoop() && failure is UpstreamFailure.Unreachable)
                    }
                }
                FakeUpstream { }.use { upstream ->
                    val pool = UpstreamPool(loop, TestDialect) { throw ChannelException("Too many open files") }
                    loop.execute { pool.send(call(upstream, "1", listener)) }
                    isOnLoop.get(5, TimeUnit.SECONDS) shouldBe true
                }
                group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
            }
        }
        // Guards against requests that are taken from a sound engine because this process has no descriptor for a probe.
        describe("a probe without a descriptor for its connection") {
            it("does not find the upstream unreachable") {
                val group = NioEventLoopGroup(1)
                val mayBeReachable = CompletableFuture<Boolean>()
                FakeUpstream { }.use { upstream ->
                    val pool = UpstreamPool(group.next(), TestDialect) { throw ChannelException("Too many open files") }
                    val listed = call(upstream, "1", BodyListener()).upstream
                    group.next().execute { pool.probe(listed) { mayBeReachable.complete(it) } }
                    mayBeReachable.get(5, TimeUnit.SECONDS) shouldBe true
                }
                group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
            }
        }
    })
