package marigoldward.gateway.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.routes.CallerLimits
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import kotlin.concurrent.thread

private const val GRACE_MILLIS = 3_000L
private const val LONG_GRACE_MILLIS = 6_000L
private const val ANSWER_MILLIS = 500L

/** Long enough for a shutdown to have begun. */
private const val STOP_MILLIS = 100L

/** How long a stopping gateway keeps idle connections, with a grace period of [LONG_GRACE_MILLIS]. */
private const val READINESS_PROPAGATION_MILLIS = 2_500L

/** Longer than a connection counts as one whose next request is on its way. */
private const val IDLE_MILLIS = 700L
private const val CLOSES = "Connection: close"

private fun get(path: String, id: String, headers: String = ""): String =
    "GET $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\n$headers\r\n"

private fun answerSlowly(call: FakeUpstream.Call) {
    if (call.head.startsWith("GET /s/")) {
        call.write(
            "HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "f\r\nid: 1\ndata: a\n\n\r\n",
        )
        Thread.sleep(ANSWER_MILLIS)
        call.write("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
    } else {
        Thread.sleep(ANSWER_MILLIS)
        call.respond("answer to ${call.id}")
    }
}

private fun withGateway(
    stage: EngineStage? = null,
    limits: CallerLimits = CallerLimits.DEFAULT,
    script: (FakeUpstream.Call) -> Unit = ::answerSlowly,
    test: (TestGateway, RawCaller) -> Unit,
) = FakeUpstream(script).use { upstream ->
    TestGateway(listOf(upstream.address to stage), limits = limits, timeoutMillis = 2_000, targetLatencyMillis = 1_000)
        .use { gateway -> gateway.caller().use { test(gateway, it) } }
}

private fun RawCaller.shouldGet(status: Int): RawCaller.Response {
    val response = readResponse().shouldNotBeNull()
    response.status shouldBe status
    response.isComplete shouldBe true
    return response
}

class KeptConnectionTest :
    DescribeSpec({
        // A stopping gateway closed connections with the end of streams whose heads had let their callers keep them.
        describe("a stream that began before the gateway stops") {
            it("is followed by the answer to the next request on its connection") {
                withGateway(EngineStage.DECODE) { gateway, caller ->
                    caller.send(get("/s/x", "1"))
                    Thread.sleep(ANSWER_MILLIS / 2)
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                    caller.shouldGet(200).head shouldNotContain CLOSES
                    caller.send(get("/s/x", "2", "X-Wait: 1000\r\n"))
                    caller.shouldGet(200).head shouldNotContain CLOSES
                    caller.send(get("/unknown", "3"))
                    caller.shouldGet(404).head shouldContain CLOSES
                    caller.isClosed() shouldBe true
                    shutdown.join()
                }
            }
            it("is followed by the end of its connection if no other request comes") {
                withGateway(EngineStage.DECODE) { gateway, caller ->
                    caller.send(get("/s/x", "1"))
                    Thread.sleep(ANSWER_MILLIS / 2)
                    val startNanos = System.nanoTime()
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                    caller.shouldGet(200)
                    caller.isClosed() shouldBe true
                    shutdown.join()
                    ((System.nanoTime() - startNanos) / 1_000_000 < GRACE_MILLIS) shouldBe true
                }
            }
        }

        // A stopping gateway dropped requests that were sent before their caller could read the close announced by a stream.
        describe("a stream that begins after the gateway stops") {
            it("is followed by the answer to a request that came once its head was sent") {
                withGateway(EngineStage.DECODE) { gateway, caller ->
                    caller.send(get("/s/x", "warm"))
                    caller.shouldGet(200)
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                    Thread.sleep(STOP_MILLIS)
                    caller.send(get("/s/x", "1"))
                    // The head is sent; the caller hasn't read it.
                    Thread.sleep(ANSWER_MILLIS / 2)
                    caller.send(get("/s/x", "2", "X-Wait: 1000\r\n"))
                    caller.shouldGet(200).body shouldContain "id: 2"
                    caller.shouldGet(200).body shouldContain "id: 2"
                    caller.isClosed() shouldBe true
                    shutdown.join()
                }
            }
            it("is followed by further answers, of which the first that is sent whole closes the connection") {
                withGateway(EngineStage.DECODE) { gateway, caller ->
                    caller.send(get("/s/x", "warm"))
                    caller.shouldGet(200)
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                    Thread.sleep(STOP_MILLIS)
                    val answers = ArrayList<RawCaller.Response>()
                    do {
                        caller.send(get("/s/x", "${answers.size}"))
                        answers += caller.readResponse().shouldNotBeNull()
                    } while (CLOSES !in answers.last().head)
                    answers.map { it.isComplete } shouldBe answers.map { true }
                    answers.map { it.status } shouldBe List(answers.size - 1) { 200 } + 503
                    answers.size shouldBeGreaterThan 1
                    caller.isClosed() shouldBe true
                    shutdown.join()
                }
            }
            it("is followed by the end of its connection if no other request comes, though the gateway still works") {
                withGateway(EngineStage.DECODE) { gateway, caller ->
                    caller.send(get("/s/x", "warm"))
                    caller.shouldGet(200)
                    val shutdown = thread { gateway.shutDown(LONG_GRACE_MILLIS) }
                    Thread.sleep(READINESS_PROPAGATION_MILLIS - ANSWER_MILLIS / 2)
                    gateway.caller().use { busy ->
                        busy.send("POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Id: busy\r\n$CHUNKED")
                        caller.send(get("/s/x", "1"))
                        caller.shouldGet(200)
                        val endNanos = System.nanoTime()
                        caller.isClosed() shouldBe true
                        (System.nanoTime() - endNanos) / 1_000_000 shouldBeLessThan 2 * IDLE_MILLIS
                        busy.shouldGet(503)
                    }
                    shutdown.join()
                }
            }
        }

        // A stopping gateway dropped requests that it had read, with the connection on which they waited for another.
        describe("requests that wait behind another on their connection when the gateway stops") {
            it("are answered, and the last answer closes the connection") {
                withGateway { gateway, caller ->
                    caller.send(get("/i/x", "1") + get("/i/x", "2") + get("/i/x", "3"))
                    Thread.sleep(ANSWER_MILLIS / 2)
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                    val answers = List(3) { caller.shouldGet(200) }
                    answers.map { it.body } shouldBe (1..3).map { "answer to $it" }
                    answers.map { CLOSES in it.head } shouldBe listOf(false, false, true)
                    caller.isClosed() shouldBe true
                    shutdown.join()
                }
            }
            it("are refused as not run when the gateway ends") {
                withGateway(script = { Thread.sleep(2 * GRACE_MILLIS) }) { gateway, caller ->
                    caller.send(get("/n/x", "1") + get("/n/x", "2") + get("/n/x", "3"))
                    Thread.sleep(ANSWER_MILLIS / 2)
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS / 2) }
                    caller.shouldGet(502)
                    caller.shouldGet(503)
                    caller.shouldGet(503).head shouldContain CLOSES
                    caller.isClosed() shouldBe true
                    shutdown.join()
                }
            }
            it("are answered though what follows them is no request") {
                withGateway { _, caller ->
                    caller.send(get("/i/x", "1") + get("/i/x", "2") + "no request\r\n\r\n")
                    caller.shouldGet(200).body shouldBe "answer to 1"
                    caller.shouldGet(200).body shouldBe "answer to 2"
                    caller.shouldGet(400).head shouldContain CLOSES
                    caller.isClosed() shouldBe true
                }
            }
        }

        // Guards against a request that ends with its connection and of which no line tells.
        describe("a request that waits behind a stream which breaks off") {
            it("is counted as dropped") {
                val dropped = GatewayMetrics.requestsDropped.labelValues("cut")
                val droppedBefore = dropped.get()
                val cut = { call: FakeUpstream.Call ->
                    call.write("HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\n")
                    call.write("Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
                    Thread.sleep(ANSWER_MILLIS)
                    call.reset()
                }
                withGateway(EngineStage.DECODE, script = cut) { _, caller ->
                    caller.send(get("/s/x", "1") + get("/s/x", "2"))
                    caller.readResponse().shouldNotBeNull().isComplete shouldBe false
                    caller.isClosed() shouldBe true
                }
                dropped.get() - droppedBefore shouldBe 1.0
            }
        }

        // A gateway closed idle connections without a look at what had come since it read them last.
        describe("a request that lies in the socket while its connection is about to be closed as idle") {
            it("is answered when the gateway stops") {
                withGateway { gateway, caller ->
                    caller.send(get("/i/x", "1"))
                    caller.shouldGet(200)
                    Thread.sleep(IDLE_MILLIS)
                    gateway.onLoop {
                        caller.send(get("/i/x", "2"))
                        Thread.sleep(ANSWER_MILLIS / 10)
                        gateway.server.closeIdle()
                    }
                    caller.shouldGet(200).body shouldBe "answer to 2"
                }
            }
            it("is answered when the connection has been idle for too long") {
                val limits = CallerLimits.DEFAULT.copy(idleTimeoutMillis = 100)
                withGateway(limits = limits, script = { it.respond("answer to ${it.id}") }) { gateway, caller ->
                    caller.send(get("/i/x", "1"))
                    caller.shouldGet(200)
                    gateway.onLoop {
                        // Runs before the check of the idle limit, which is due then, without a read in between.
                        gateway.afterNextAccept {
                            caller.send(get("/i/x", "2"))
                            Thread.sleep(ANSWER_MILLIS / 10)
                        }
                        Thread.sleep(TIMEOUT_CHECK_MILLIS)
                    }
                    caller.shouldGet(200).body shouldBe "answer to 2"
                }
            }
        }

        // A request whose body had not come whole when its gateway ended got a reset in place of an answer.
        describe("a request whose body is still coming when the gateway ends") {
            listOf(
                "of known length" to "Content-Length: 10\r\n\r\nhalf",
                "in chunks" to CHUNKED,
            ).forEach { (name, rest) ->
                it("is refused as not run: a body $name") {
                    withGateway { gateway, caller ->
                        caller.send("POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n$rest")
                        Thread.sleep(ANSWER_MILLIS / 2)
                        val shutdown = thread { gateway.shutDown(GRACE_MILLIS / 2) }
                        caller.shouldGet(503).head shouldContain CLOSES
                        caller.isClosed() shouldBe true
                        shutdown.join()
                    }
                }
            }
            it("is served if the rest comes before") {
                withGateway { gateway, caller ->
                    caller.send("POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n$CHUNKED")
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                    Thread.sleep(ANSWER_MILLIS)
                    caller.send("\r\n0\r\n\r\n")
                    caller.shouldGet(200).head shouldContain CLOSES
                    caller.isClosed() shouldBe true
                    shutdown.join()
                }
            }
        }
    })

private const val CHUNKED = "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf"
private const val TIMEOUT_CHECK_MILLIS = 1_100L
