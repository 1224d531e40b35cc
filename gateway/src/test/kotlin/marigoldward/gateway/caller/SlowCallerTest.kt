package marigoldward.gateway.caller

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.routes.CallerLimits
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import java.net.SocketException
import kotlin.concurrent.thread

/** The limit of a body. It exceeds what the sockets take of a response that the caller does not read. */
private const val BODY_BYTES = 4 * 1024 * 1024
private const val RECEIVE_BUFFER_BYTES = 4_096

/** Just below the limit of an event, which is forwarded in one write. */
private const val EVENT_BYTES = 1_000_000
private const val EVENTS = 5
private const val SLOW_READS = 80
private const val SLOW_READ_BYTES = 32L * 1024
private const val SLOW_READ_PAUSE_MILLIS = 10L
private const val STALL_MILLIS = 700L
private const val TIMEOUT_MILLIS = 8_000L
private const val GRACE_MILLIS = 3_000L

private fun request(path: String, headers: String = "", version: String = "1.1"): String =
    "GET $path HTTP/$version\r\nHost: h.example\r\nX-Id: 1\r\n$headers\r\n"

private val BODY = "b".repeat(BODY_BYTES - 1) + "e"

private fun event(id: Int): String = "id: $id\ndata: ".let { it + "d".repeat(EVENT_BYTES - it.length) } + "\n\n"

private fun streamEvents(call: FakeUpstream.Call) {
    call.write("HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n")
    (1..EVENTS).forEach { id ->
        val event = event(id)
        val end = if (id == EVENTS) "0\r\n\r\n" else ""
        call.write("${Integer.toHexString(event.length)}\r\n$event\r\n$end")
    }
}

/** Runs [test] with a caller that reads nothing before [test] does, of a gateway before one upstream. */
private fun withSlowCaller(
    stage: EngineStage?,
    script: (FakeUpstream.Call) -> Unit,
    limits: CallerLimits = CallerLimits.DEFAULT,
    test: (RawCaller, TestGateway) -> Unit,
) = FakeUpstream(script).use { upstream ->
    TestGateway(listOf(upstream.address to stage), limits = limits, timeoutMillis = TIMEOUT_MILLIS).use { gateway ->
        RawCaller(gateway.port, RECEIVE_BUFFER_BYTES).use { test(it, gateway) }
    }
}

class SlowCallerTest :
    DescribeSpec({
        // Guards against a connection that was closed while its last response lay unsent in memory.
        describe("a caller that reads slowly gets the whole response") {
            it("on a connection that is closed after it") {
                withSlowCaller(stage = null, { it.respond(BODY) }) { caller, _ ->
                    caller.send(request("/i/x", "Connection: close\r\n"))
                    Thread.sleep(STALL_MILLIS)
                    val response = caller.readResponse().shouldNotBeNull()
                    response.body.length shouldBe BODY_BYTES
                    response.isComplete shouldBe true
                    caller.isClosed() shouldBe true
                }
            }
            it("on a connection that is kept, though the gateway closes idle ones") {
                withSlowCaller(stage = null, { it.respond(BODY) }) { caller, gateway ->
                    caller.send(request("/i/x"))
                    Thread.sleep(STALL_MILLIS)
                    gateway.onLoop {
                        gateway.server.isBusy shouldBe true
                        gateway.server.closeIdle()
                    }
                    val response = caller.readResponse().shouldNotBeNull()
                    response.body.length shouldBe BODY_BYTES
                    response.isComplete shouldBe true
                }
            }
            it("and nothing after it, though it has begun to send another request") {
                val limits = CallerLimits.DEFAULT.copy(headerTimeoutMillis = 300)
                withSlowCaller(stage = null, { it.respond(BODY) }, limits) { caller, _ ->
                    caller.send(request("/i/x", "Connection: close\r\n"))
                    Thread.sleep(STALL_MILLIS)
                    caller.send("GET /i/x HT")
                    Thread.sleep(1_500)
                    caller.readToEnd() shouldEndWith BODY
                }
            }
            it("of a stream before HTTP/1.1, which ends with the connection") {
                withSlowCaller(EngineStage.DECODE, ::streamEvents) { caller, _ ->
                    caller.send(request("/s/x", version = "1.0"))
                    Thread.sleep(STALL_MILLIS)
                    repeat(SLOW_READS) {
                        caller.skip(SLOW_READ_BYTES)
                        Thread.sleep(SLOW_READ_PAUSE_MILLIS)
                    }
                    caller.readToEnd() shouldEndWith event(EVENTS)
                }
            }
        }
        // Guards against a response that is cut off by the end of the process while its caller still takes it.
        describe("a caller that reads nothing until the gateway has begun to stop gets the whole response") {
            it("of a plain service") {
                withSlowCaller(stage = null, { it.respond(BODY) }) { caller, gateway ->
                    caller.send(request("/i/x"))
                    Thread.sleep(STALL_MILLIS)
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                    Thread.sleep(GRACE_MILLIS / 2)
                    caller.readResponse()?.body?.length shouldBe BODY_BYTES
                    shutdown.join()
                }
            }
            it("of a stream, the rest of which waits at the upstream") {
                withSlowCaller(EngineStage.DECODE, ::streamEvents) { caller, gateway ->
                    caller.send(request("/s/x"))
                    Thread.sleep(STALL_MILLIS)
                    val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                    Thread.sleep(GRACE_MILLIS / 2)
                    val response = caller.readResponse().shouldNotBeNull()
                    response.isComplete shouldBe true
                    response.body shouldEndWith event(EVENTS)
                    shutdown.join()
                }
            }
        }
        // Guards against an orderly end of a response that the caller has not taken, which looks complete.
        describe("a caller that reads nothing for the idle timeout") {
            it("has its connection reset") {
                val limits = CallerLimits.DEFAULT.copy(idleTimeoutMillis = 500)
                withSlowCaller(stage = null, { it.respond(BODY) }, limits) { caller, _ ->
                    caller.send(request("/i/x", "Connection: close\r\n"))
                    Thread.sleep(2_500)
                    shouldThrow<SocketException> { caller.readToEnd() }
                }
            }
        }
    })
