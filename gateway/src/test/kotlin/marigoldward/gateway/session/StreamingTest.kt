package marigoldward.gateway.session

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import marigoldward.gateway.firstThenOthers
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicInteger

private fun streamRequest(path: String, headers: String = ""): String =
    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Prompt: shared\r\nContent-Length: 2\r\n$headers\r\n{}"

private fun event(id: Int): String = "id: $id\ndata: token $id\n\n"

private fun FakeUpstream.Call.beginStream() = write(
    "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signed: s\r\n" +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
)

private fun FakeUpstream.Call.beginUnframedStream() =
    write("HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signed: s\r\nContent-Type: text/event-stream\r\n\r\n")

private fun FakeUpstream.Call.chunk(text: String) = write("${Integer.toHexString(text.length)}\r\n$text\r\n")

private fun FakeUpstream.Call.stream(vararg ids: Int) {
    beginStream()
    ids.forEach { chunk(event(it)) }
    write("0\r\n\r\n")
}

private fun events(vararg ids: Int): String = ids.joinToString("") { event(it) }

private fun withEngines(
    vararg engines: Pair<EngineStage, (FakeUpstream.Call) -> Unit>,
    test: (RawCaller, List<FakeUpstream>) -> Unit,
) {
    val upstreams = engines.map { FakeUpstream(it.second) }
    TestGateway(upstreams.mapIndexed { index, upstream -> upstream.address to engines[index].first }).use { gateway ->
        gateway.caller().use { test(it, upstreams) }
    }
    upstreams.forEach(FakeUpstream::close)
}

class StreamingTest :
    DescribeSpec({
        describe("a stream") {
            it("is forwarded event by event") {
                withEngines(EngineStage.DECODE to { it.stream(1, 2, 3) }) { caller, _ ->
                    caller.send(streamRequest("/s/x"))
                    val response = caller.readResponse().shouldNotBeNull()
                    response.body shouldBe events(1, 2, 3)
                    response.isComplete shouldBe true
                    response.head shouldContain "X-Signed: s"
                }
            }
            it("is forwarded while the upstream still generates") {
                val gate = CountDownLatch(1)
                withEngines(
                    EngineStage.DECODE to { call ->
                        call.beginStream()
                        call.chunk(event(1))
                        gate.await()
                        call.chunk(event(2))
                        call.write("0\r\n\r\n")
                    },
                ) { caller, _ ->
                    caller.send(streamRequest("/s/x"))
                    Thread.sleep(100)
                    gate.count.let { gate.countDown() }
                    caller.readResponse()?.body shouldBe events(1, 2)
                }
            }
            it("that breaks inside an event is left incomplete after the last complete event") {
                withEngines(
                    EngineStage.DECODE to { call ->
                        call.beginStream()
                        call.chunk(event(1) + "id: 2\nda")
                        call.reset()
                    },
                ) { caller, _ ->
                    caller.send(streamRequest("/s/x"))
                    val response = caller.readResponse().shouldNotBeNull()
                    response.isComplete shouldBe false
                    response.body shouldNotContain "id: 2"
                }
            }
            it("without a length or chunks is complete if its engine closes the connection after an event") {
                withEngines(
                    EngineStage.DECODE to { call ->
                        call.beginUnframedStream()
                        call.write(event(1) + event(2))
                        call.socket.close()
                    },
                ) { caller, _ ->
                    caller.send(streamRequest("/s/x"))
                    val response = caller.readResponse().shouldNotBeNull()
                    response.body shouldBe events(1, 2)
                    response.isComplete shouldBe true
                }
            }
            listOf<Pair<String, (FakeUpstream.Call) -> Unit>>(
                "inside an event" to { call ->
                    call.write(event(1) + "id: 2\nda")
                    call.socket.close()
                },
                "with a reset" to { call ->
                    call.write(event(1))
                    Thread.sleep(50)
                    call.reset()
                },
            ).forEach { (name, breakOff) ->
                it("without a length or chunks is left incomplete if it ends $name") {
                    withEngines(
                        EngineStage.DECODE to { call ->
                            call.beginUnframedStream()
                            breakOff(call)
                        },
                    ) { caller, _ ->
                        caller.send(streamRequest("/s/x"))
                        val response = caller.readResponse().shouldNotBeNull()
                        response.body shouldBe events(1)
                        response.isComplete shouldBe false
                    }
                }
            }
            // Guards against an answer that broke off reaching a caller, for whom its end is the end of the connection,
            // as a complete one.
            it("that breaks off resets the connection of a caller of HTTP/1.0") {
                withEngines(
                    EngineStage.DECODE to { call ->
                        call.beginStream()
                        call.chunk(event(1))
                        Thread.sleep(50)
                        call.reset()
                    },
                ) { caller, _ ->
                    caller.send(streamRequest("/s/x").replace("HTTP/1.1", "HTTP/1.0"))
                    shouldThrow<SocketException> { caller.readToEnd() }
                }
            }
            it("that is complete ends with the connection of a caller of HTTP/1.0") {
                withEngines(EngineStage.DECODE to { it.stream(1) }) { caller, _ ->
                    caller.send(streamRequest("/s/x").replace("HTTP/1.1", "HTTP/1.0"))
                    caller.readToEnd() shouldEndWith events(1)
                }
            }
            it("is resumed on another engine after the last event if its route allows that") {
                val script = firstThenOthers(
                    { call ->
                        call.beginStream()
                        call.chunk(event(1) + event(2))
                        Thread.sleep(50)
                        call.reset()
                    },
                    { call -> call.stream(2, 3, 4) },
                )
                withEngines(EngineStage.DECODE to script, EngineStage.DECODE to script) { caller, upstreams ->
                    caller.send(streamRequest("/r/x"))
                    val response = caller.readResponse().shouldNotBeNull()
                    response.body shouldBe events(1, 2, 3, 4)
                    response.isComplete shouldBe true
                    upstreams.flatMap { it.calls }.count { "Last-Event-Id: 2" in it.head } shouldBe 1
                }
            }
            it("that has not begun ends as an unknown outcome if its engine closes the connection") {
                withEngines(EngineStage.DECODE to { it.reset() }) { caller, _ ->
                    caller.send(streamRequest("/s/x"))
                    caller.readResponse()?.status shouldBe 502
                }
            }
        }

        describe("a request with separate prefill and decode engines") {
            val prefill: (FakeUpstream.Call) -> Unit = { it.respond("handle-7") }

            it("is sent to both, and the decode engine gets the location of the KV cache") {
                withEngines(
                    EngineStage.PREFILL to prefill,
                    EngineStage.DECODE to { it.stream(1) },
                ) { caller, upstreams ->
                    caller.send(streamRequest("/s/x", "X-Cache: forged\r\nX-Step: forged\r\n"))
                    caller.readResponse()?.body shouldBe events(1)
                    upstreams[0].calls.single().head shouldContain "X-Step: prefill\r\n"
                    upstreams[1].calls.single().head shouldContain "X-Cache: ${upstreams[0].address}/handle-7\r\n"
                    upstreams[1].calls.single().head shouldNotContain "forged"
                }
            }
            it("is sent to another decode engine with the same KV cache if the first did not run it") {
                val script = firstThenOthers(
                    { call -> call.respond("", "503 Service Unavailable", "X-Not-Run: 1\r\n") },
                    { call -> call.stream(1) },
                )
                withEngines(
                    EngineStage.PREFILL to prefill,
                    EngineStage.DECODE to script,
                    EngineStage.DECODE to script,
                ) { caller, upstreams ->
                    caller.send(streamRequest("/s/x"))
                    caller.readResponse()?.body shouldBe events(1)
                    upstreams[0].calls.size shouldBe 1
                }
            }
            it("is retried if the prefill engine closes the connection, because a prefill is not a run") {
                val script = firstThenOthers(
                    { call -> call.reset() },
                    { call -> call.respond("handle-8") },
                )
                withEngines(
                    EngineStage.PREFILL to script,
                    EngineStage.PREFILL to script,
                    EngineStage.DECODE to { it.stream(1) },
                ) { caller, _ ->
                    caller.send(streamRequest("/s/x"))
                    caller.readResponse()?.body shouldBe events(1)
                }
            }
            it("frees the KV cache if no decode engine fetches it") {
                withEngines(
                    EngineStage.PREFILL to { call -> call.respond(if ("DELETE" in call.head) "" else "handle-9") },
                    EngineStage.DECODE to { it.reset() },
                ) { caller, upstreams ->
                    caller.send(streamRequest("/s/x"))
                    caller.readResponse()?.status shouldBe 502
                    Thread.sleep(200)
                    upstreams[0].calls.last().head shouldContain "DELETE /cache/handle-9 "
                }
            }
        }

        describe("a burst of long prompts") {
            it("is limited to two prefills at a time for one engine, and all are answered") {
                val release = Semaphore(0)
                val prefillsInProgress = AtomicInteger()
                val prefillEngine = FakeUpstream { call ->
                    prefillsInProgress.incrementAndGet()
                    release.acquire()
                    prefillsInProgress.decrementAndGet()
                    call.respond("handle")
                }
                val decodeEngine = FakeUpstream { it.stream(1) }
                val engines =
                    listOf(
                        prefillEngine.address to EngineStage.PREFILL,
                        decodeEngine.address to EngineStage.DECODE,
                    )
                TestGateway(engines, timeoutMillis = 20_000, targetLatencyMillis = 10_000).use { gateway ->
                    val callers = List(3) { gateway.caller() }
                    callers.forEach { it.send(streamRequest("/s/x", "X-Tokens: 20000\r\n")) }
                    Thread.sleep(300)
                    prefillsInProgress.get() shouldBe 2
                    release.release(3)
                    callers.forEach { it.readResponse()?.body shouldBe events(1) }
                    prefillEngine.calls.size shouldBe 3
                }
            }
        }

        describe("event splitter") {
            it("returns complete events when the bytes arrive one at a time") {
                val splitter = EventSplitter()
                val text = (event(1) + "id: 2\r\ndata: x\r\n\r\n" + ": comment\n\n").toByteArray()
                val found = text.flatMap { splitter.feed(byteArrayOf(it)) }
                found.map { it.id } shouldBe listOf("1", "2", null)
                found.joinToString("") { it.bytes.decodeToString() } shouldBe text.decodeToString()
                splitter.hasIncompleteEvent shouldBe false
            }
        }
    })
