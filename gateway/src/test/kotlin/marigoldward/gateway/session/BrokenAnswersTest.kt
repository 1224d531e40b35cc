package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val CALLERS = 6
private const val MANY_CALLERS = 24
private const val SOUND = "id: 1\ndata: sound\n\n"

private fun request(path: String, id: Int) =
    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: c$id\r\nX-Prompt: p\r\nContent-Length: 2\r\n\r\n{}"

private fun TestGateway.send(path: String, id: Int): RawCaller.Response? = caller().use { caller ->
    caller.send(request(path, id))
    caller.readResponse()
}

class BrokenAnswersTest :
    DescribeSpec({
        listOf("/n/x" to null, "/s/x" to EngineStage.DECODE).forEach { (path, stage) ->
            describe("the only upstream of a service, at $path") {
                // Guards against a service that is refused for 0.5 s as its upstream sent two malformed answers.
                it("goes on to get requests after two answers that are none") {
                    val calls = AtomicInteger()
                    val upstream = FakeUpstream { call ->
                        if (calls.incrementAndGet() <= 2) call.write("garbage\r\n\r\n") else call.respond(SOUND)
                    }
                    TestGateway(listOf(upstream.address to stage)).use { gateway ->
                        repeat(2) { gateway.send(path, it)?.status shouldBe 502 }
                        gateway.send(path, 2)?.body shouldBe SOUND
                    }
                    upstream.close()
                }
            }
        }
        describe("all upstreams of a service, whose connections are reset at once within answers") {
            // Guards against a service that is refused for 0.5 s after all its connections were reset once.
            it("get the requests that follow") {
                val begun = CountDownLatch(CALLERS)
                val upstreams = List(2) {
                    FakeUpstream { call ->
                        if (begun.count > 0) {
                            call.write(
                                "HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\nContent-Length: 9\r\n\r\nb",
                            )
                            begun.countDown()
                            begun.await(1, TimeUnit.SECONDS)
                            Thread.sleep(50)
                            call.reset()
                        } else {
                            call.respond(SOUND)
                        }
                    }
                }
                val threads = Executors.newFixedThreadPool(CALLERS)
                TestGateway(upstreams.map { it.address to null }).use { gateway ->
                    fun sendAll() = threads
                        .invokeAll((1..CALLERS).map { Callable { gateway.send("/n/x", it)?.status } })
                        .map { it.get() }
                    sendAll() shouldContainExactly List(CALLERS) { 502 }
                    sendAll() shouldContainExactly List(CALLERS) { 200 }
                }
                threads.shutdown()
                upstreams.forEach(FakeUpstream::close)
            }
        }
        describe("an upstream that has sent two malformed answers in a row") {
            // Guards against an upstream that goes on to get requests for malformed answers beside a sound one.
            it("gets none for a while if the service has a sound upstream, however busy that is") {
                val broken = FakeUpstream { it.write("garbage\r\n\r\n") }
                val sound = FakeUpstream {
                    Thread.sleep(300)
                    it.respond(SOUND)
                }
                val threads = Executors.newFixedThreadPool(MANY_CALLERS)
                TestGateway(listOf(broken.address to null, sound.address to null)).use { gateway ->
                    gateway.updateUpstreams(gateway.listed.take(1))
                    repeat(2) { gateway.send("/n/x", it)?.status shouldBe 502 }
                    gateway.updateUpstreams(gateway.listed)
                    threads
                        .invokeAll((1..MANY_CALLERS).map { Callable { gateway.send("/n/x", it)?.status } })
                        .map { it.get() } shouldContainExactly List(MANY_CALLERS) { 200 }
                }
                threads.shutdown()
                listOf(broken, sound).forEach(FakeUpstream::close)
                broken.calls.size shouldBe 2
            }
        }
    })
