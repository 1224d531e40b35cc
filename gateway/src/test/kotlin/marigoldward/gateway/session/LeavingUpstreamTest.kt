package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import marigoldward.gateway.firstThenOthers
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val LEAVING = "X-Leaving: 1\r\n"
private const val EVENT = "id: 1\ndata: a\n\n"
private const val LAST_EVENT = "id: 2\ndata: b\n\n"

private fun chunk(text: String): String = "${Integer.toHexString(text.length)}\r\n$text\r\n"

private fun FakeUpstream.Call.beginStream(headers: String = "") = write(
    "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signed: s\r\n${headers}Content-Type: text/event-stream\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n${chunk(EVENT)}",
)

private fun FakeUpstream.Call.endStream() = write("${chunk(LAST_EVENT)}0\r\n\r\n")

private fun FakeUpstream.Call.stream(headers: String = "") {
    beginStream(headers)
    endStream()
}

private fun request(path: String, id: Any): String =
    "GET $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\nX-Prompt: shared\r\n\r\n"

private fun RawCaller.statusOf(path: String, id: Any): Int? {
    send(request(path, id))
    return readResponse()?.status
}

/** The list of upstreams as it was at first, applied again as if it had just been read. */
private fun TestGateway.listAgain() = onLoop { updateUpstreams(listed) }

/** An upstream of a gateway, by what it answers. */
private class Case(val path: String, val stage: EngineStage?, val name: String, val leave: (FakeUpstream.Call) -> Unit)

private val CASES = listOf(
    Case("/i/x", null, "a whole answer") { it.respond("ok", headers = LEAVING) },
    Case("/n/x", null, "a refusal") { it.respond("", "503 Service Unavailable", "X-Not-Run: 1\r\n$LEAVING") },
    Case("/i/x", null, "a server error") { it.respond("", "500 Internal Server Error", LEAVING) },
    Case("/i/x", null, "an answer that is then cut off") { call ->
        call.write("HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\n${LEAVING}Content-Length: 9\r\n\r\nabc")
        Thread.sleep(50)
        call.reset()
    },
    Case("/s/x", EngineStage.DECODE, "a stream") { it.stream(LEAVING) },
    Case("/r/x", EngineStage.DECODE, "a stream that breaks off and is resumed elsewhere") { call ->
        call.beginStream(LEAVING)
        Thread.sleep(50)
        call.reset()
    },
    Case("/s/x", EngineStage.DECODE, "a refusal to stream") {
        it.respond("", "503 Service Unavailable", "X-Not-Run: 1\r\n$LEAVING")
    },
)

class LeavingUpstreamTest :
    DescribeSpec({
        describe("an upstream that announces that it is leaving, while the directory lists it as ready") {
            // Guards against requests to an upstream that has said in an answer that it is leaving.
            CASES.forEach { case ->
                it("gets no further requests (${case.name}, ${case.path})") {
                    val answer: (FakeUpstream.Call) -> Unit =
                        { call -> if (case.stage == null) call.respond("ok") else call.stream() }
                    val announcements = CopyOnWriteArrayList<FakeUpstream.Call>()
                    val leave: (FakeUpstream.Call) -> Unit = { call ->
                        announcements.add(call)
                        case.leave(call)
                    }
                    val script = firstThenOthers(leave, answer)
                    val upstreams = List(3) { FakeUpstream(script) }
                    TestGateway(upstreams.map { it.address to case.stage }).use { gateway ->
                        gateway.caller().use { caller ->
                            caller.statusOf(case.path, "first")
                            val left = upstreams.single { announcements.single() in it.calls }
                            repeat(40) { number ->
                                gateway.listAgain()
                                caller.statusOf(case.path, number) shouldBe 200
                            }
                            left.calls.size shouldBe 1
                        }
                    }
                    upstreams.forEach(FakeUpstream::close)
                }
            }
            it("ends the stream in progress in order, and gets nothing meanwhile") {
                val isOver = CountDownLatch(1)
                val script = firstThenOthers(
                    { call ->
                        call.beginStream(LEAVING)
                        isOver.await(5, TimeUnit.SECONDS)
                        call.endStream()
                    },
                    { it.stream() },
                )
                val upstreams = List(2) { FakeUpstream(script) }
                TestGateway(upstreams.map { it.address to EngineStage.DECODE }).use { gateway ->
                    val first = gateway.caller()
                    first.send(request("/s/x", "first"))
                    while (upstreams.sumOf { it.calls.size } == 0) Thread.sleep(5)
                    Thread.sleep(100)
                    gateway.caller().use { caller ->
                        repeat(10) { caller.statusOf("/s/x", it) shouldBe 200 }
                    }
                    isOver.countDown()
                    val response = first.readResponse().shouldNotBeNull()
                    response.body shouldBe EVENT + LAST_EVENT
                    response.isComplete shouldBe true
                    upstreams.minOf { it.calls.size } shouldBe 1
                }
                upstreams.forEach(FakeUpstream::close)
            }
            it("has the connections closed on which it waits for requests") {
                val isSlow = CountDownLatch(1)
                FakeUpstream { call ->
                    if (call.id == "slow") isSlow.await(5, TimeUnit.SECONDS)
                    call.respond("ok", headers = if (call.id == "slow") LEAVING else "")
                }.use { upstream ->
                    TestGateway(listOf(upstream.address to null), targetLatencyMillis = 5_000).use { gateway ->
                        val slow = gateway.caller()
                        slow.send(request("/n/x", "slow"))
                        while (upstream.calls.isEmpty()) Thread.sleep(5)
                        gateway.caller().use { it.statusOf("/n/x", "kept") shouldBe 200 }
                        isSlow.countDown()
                        slow.readResponse()?.status shouldBe 200
                        upstream.awaitClosed() shouldBe "kept"
                    }
                }
            }
            it("gets nothing after the time either for which it refused requests") {
                val script = firstThenOthers(
                    { it.respond("", "503 Service Unavailable", "X-Not-Run: 1\r\nX-Refuses-For: 300\r\n$LEAVING") },
                    { it.respond("ok") },
                )
                val upstreams = List(2) { FakeUpstream(script) }
                TestGateway(upstreams.map { it.address to null }).use { gateway ->
                    gateway.caller().use { caller ->
                        caller.statusOf("/i/x", "first") shouldBe 200
                        Thread.sleep(400)
                        repeat(20) { caller.statusOf("/i/x", it) shouldBe 200 }
                    }
                    upstreams.minOf { it.calls.size } shouldBe 1
                }
                upstreams.forEach(FakeUpstream::close)
            }
            it("leaves its callers a refusal at once if it is the last of its service") {
                FakeUpstream { it.respond("ok", headers = LEAVING) }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        gateway.caller().use { caller ->
                            caller.statusOf("/i/x", "first") shouldBe 200
                            val startNanos = System.nanoTime()
                            List(3) { caller.statusOf("/i/x", it) } shouldContainOnly listOf(503)
                            (System.nanoTime() - startNanos) / 1_000_000 shouldBeLessThan 500
                        }
                        upstream.calls.size shouldBe 1
                    }
                }
            }
        }

        describe("an engine that announces in its answer to a prefill that it is leaving") {
            it("still hands over the KV cache that it has computed, and gets no further prompts") {
                val prefill: (FakeUpstream.Call) -> Unit = { it.respond("handle", headers = LEAVING) }
                val prefillEngines = List(2) { FakeUpstream(firstThenOthers(prefill, prefill)) }
                val decodeEngine = FakeUpstream { it.stream() }
                val engines = prefillEngines.map { it.address to EngineStage.PREFILL } +
                    (decodeEngine.address to EngineStage.DECODE)
                TestGateway(engines).use { gateway ->
                    gateway.caller().use { caller ->
                        repeat(5) { caller.statusOf("/s/x", it) shouldBe 200 }
                    }
                    prefillEngines.forEach { it.calls.count { call -> "X-Step: prefill" in call.head } shouldBe 1 }
                    decodeEngine.calls.count { "X-Cache" in it.head } shouldBe 2
                }
                (prefillEngines + decodeEngine).forEach(FakeUpstream::close)
            }
        }

        describe("an answer of another upstream at the same address") {
            it("says nothing about the upstream that was expected there") {
                FakeUpstream { it.respond("ok", headers = "${LEAVING}X-By: another\r\n") }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        gateway.caller().use { caller ->
                            repeat(3) { caller.statusOf("/i/x", it) shouldBe 200 }
                        }
                    }
                }
            }
        }
    })
