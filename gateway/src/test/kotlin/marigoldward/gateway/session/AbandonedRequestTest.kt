package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

private fun get(path: String, id: String, headers: String = ""): String =
    "GET $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\n$headers\r\n"

/** A prompt that is long enough for the limit on long prompts. */
private const val LONG_PROMPT = "X-Prompt: p\r\nX-Tokens: 6000\r\n"

/** How long the tests wait for a request that must not come. */
private const val QUIET_MILLIS = 600L

private fun TestGateway.sendAndLeave(text: String, afterMillis: Long = 0) {
    caller().use {
        it.send(text)
        Thread.sleep(afterMillis)
    }
}

/** Runs [test] with a gateway in front of engines of both stages. */
private fun withEngines(
    prefill: (FakeUpstream.Call) -> Unit,
    test: (TestGateway, FakeUpstream, FakeUpstream) -> Unit,
) {
    FakeUpstream(prefill).use { prefillEngine ->
        FakeUpstream { it.respond("done") }.use { decodeEngine ->
            val engines =
                listOf(prefillEngine.address to EngineStage.PREFILL, decodeEngine.address to EngineStage.DECODE)
            TestGateway(engines, timeoutMillis = 5_000, targetLatencyMillis = 2_000).use { gateway ->
                test(gateway, prefillEngine, decodeEngine)
            }
        }
    }
}

// Requests reached engines after their callers had closed the connection or their deadlines had passed.
class AbandonedRequestTest :
    DescribeSpec({
        describe("a request whose caller has left is not sent") {
            it("if the event loop read the request and the close together") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        gateway.onLoop {
                            repeat(10) { gateway.sendAndLeave(get("/i/x", "$it")) }
                            Thread.sleep(100)
                        }
                        gateway.caller().use {
                            it.send(get("/i/x", "last"))
                            it.readResponse().shouldNotBeNull().status shouldBe 200
                        }
                        upstream.calls.map { it.id } shouldBe listOf("last")
                    }
                }
            }
            it("if the caller left while the event loop was busy with requests read before") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    TestGateway(
                        listOf(upstream.address to null),
                        timeoutMillis = 10_000,
                        handlingMillis = 50,
                    ).use { gateway ->
                        val callers = List(30) { gateway.caller() }
                        gateway.onLoop {
                            callers.forEachIndexed { index, caller -> caller.send(get("/i/x", "$index")) }
                            Thread.sleep(50)
                        }
                        Thread.sleep(200)
                        callers.drop(10).forEach(RawCaller::close)
                        callers.take(10).forEach { it.readResponse().shouldNotBeNull().status shouldBe 200 }
                        Thread.sleep(QUIET_MILLIS)
                        upstream.calls.count { it.id.toInt() >= 10 } shouldBeLessThanOrEqual 3
                    }
                }
            }
            it("if it waits in the queue of long prompts") {
                val gate = CountDownLatch(1)
                withEngines({
                    gate.await()
                    it.respond("handle")
                }) { gateway, prefillEngine, _ ->
                    val ahead = List(2) { index ->
                        gateway.caller().apply { send(get("/s/x", "ahead-$index", LONG_PROMPT)) }
                    }
                    Thread.sleep(100)
                    gateway.sendAndLeave(get("/s/x", "left", LONG_PROMPT), afterMillis = 100)
                    Thread.sleep(100)
                    gate.countDown()
                    ahead.forEach { it.readResponse().shouldNotBeNull() }
                    Thread.sleep(QUIET_MILLIS)
                    prefillEngine.calls.filter { it.id == "left" }.shouldBeEmpty()
                }
            }
            it("if a connection to the upstream is being opened") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { full ->
                        val fillers = List(2) { Socket("127.0.0.1", full.localPort) }
                        val upstreams = listOf("127.0.0.1:${full.localPort}" to null, upstream.address to null)
                        TestGateway(upstreams).use { gateway ->
                            repeat(6) { gateway.sendAndLeave(get("/i/x", "left-$it"), afterMillis = 50) }
                            val atOnce = upstream.calls.size
                            Thread.sleep(QUIET_MILLIS)
                            upstream.calls shouldHaveSize atOnce
                        }
                        fillers.forEach(Socket::close)
                    }
                }
            }
            it("to a decode engine, if the caller left during the prefill") {
                withEngines({
                    Thread.sleep(300)
                    it.respond("handle")
                }) { gateway, prefillEngine, decodeEngine ->
                    gateway.sendAndLeave(get("/s/x", "left", LONG_PROMPT), afterMillis = 100)
                    prefillEngine.awaitClosed() shouldBe "left"
                    Thread.sleep(QUIET_MILLIS)
                    decodeEngine.calls.shouldBeEmpty()
                }
            }
            it("to another upstream, if the first one refuses it after the caller left") {
                val calls = CopyOnWriteArrayList<String>()
                val refuse = { call: FakeUpstream.Call ->
                    calls += call.id
                    Thread.sleep(300)
                    call.respond("", "503 Busy", "X-Not-Run: 1\r\n")
                }
                FakeUpstream(refuse).use { first ->
                    FakeUpstream(refuse).use { second ->
                        TestGateway(listOf(first.address to null, second.address to null)).use { gateway ->
                            gateway.sendAndLeave(get("/i/x", "left"), afterMillis = 100)
                            Thread.sleep(QUIET_MILLIS)
                            calls shouldHaveSize 1
                        }
                    }
                }
            }
        }
        describe("a request whose deadline has passed before it is started") {
            it("is refused as not run") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    TestGateway(listOf(upstream.address to null), handlingMillis = 100).use { gateway ->
                        gateway.caller().use { caller ->
                            caller.send(get("/i/x", "late", "X-Wait: 50\r\n"))
                            caller.readResponse().shouldNotBeNull().status shouldBe 503
                        }
                        upstream.calls.shouldBeEmpty()
                    }
                }
            }
        }
    })
