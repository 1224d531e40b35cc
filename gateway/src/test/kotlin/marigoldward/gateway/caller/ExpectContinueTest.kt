package marigoldward.gateway.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val FIRST_EVENT = "id: 1\ndata: a\n\n"
private const val SECOND_EVENT = "id: 2\ndata: b\n\n"
private const val BODY = "{}"

private fun request(path: String, id: String, headers: String = "", version: String = "1.1"): String =
    "POST $path HTTP/$version\r\nHost: h.example\r\nX-Id: $id\r\nContent-Length: ${BODY.length}\r\n$headers\r\n"

private const val EXPECT = "Expect: 100-continue\r\n"

/** Sends one event, and the other once [gate] is open. */
private fun streamInTwoParts(call: FakeUpstream.Call, gate: CountDownLatch) {
    call.write(
        "HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
            "f\r\n$FIRST_EVENT\r\n",
    )
    gate.await(1, TimeUnit.SECONDS)
    call.write("f\r\n$SECOND_EVENT\r\n0\r\n\r\n")
}

private fun withEngine(script: (FakeUpstream.Call) -> Unit, test: (RawCaller, FakeUpstream) -> Unit) =
    FakeUpstream(script).use { upstream ->
        TestGateway(listOf(upstream.address to EngineStage.DECODE)).use { gateway ->
            gateway.caller().use { test(it, upstream) }
        }
    }

class ExpectContinueTest :
    DescribeSpec({
        describe("a request whose body the caller holds back") {
            it("is asked for its body and served") {
                withEngine({ it.respond(FIRST_EVENT) }) { caller, upstream ->
                    caller.send(request("/s/x", "1", EXPECT))
                    caller.readResponse().shouldNotBeNull().status shouldBe 100
                    caller.send(BODY)
                    caller.readResponse().shouldNotBeNull().body shouldBe FIRST_EVENT
                    upstream.calls.single().body.decodeToString() shouldBe BODY
                }
            }
            // Guards against an interim response between the parts of a stream, which its caller took for a chunk.
            it("is asked for it only after the response in progress has ended") {
                val gate = CountDownLatch(1)
                withEngine({ streamInTwoParts(it, gate) }) { caller, upstream ->
                    caller.send(request("/s/x", "1") + BODY)
                    while (upstream.calls.isEmpty()) Thread.sleep(5)
                    caller.send(request("/s/x", "2", EXPECT))
                    Thread.sleep(100)
                    gate.countDown()
                    val first = caller.readResponse().shouldNotBeNull()
                    first.body shouldBe FIRST_EVENT + SECOND_EVENT
                    first.isComplete shouldBe true
                    caller.readResponse().shouldNotBeNull().status shouldBe 100
                    caller.send(BODY)
                    val second = caller.readResponse().shouldNotBeNull()
                    second.head.contains("X-Id: 2\r\n") shouldBe true
                    second.body shouldBe FIRST_EVENT + SECOND_EVENT
                }
            }
            it("is not asked for it once the body has come") {
                val gate = CountDownLatch(1)
                withEngine({ streamInTwoParts(it, gate) }) { caller, upstream ->
                    caller.send(request("/s/x", "1") + BODY)
                    while (upstream.calls.isEmpty()) Thread.sleep(5)
                    caller.send(request("/s/x", "2", EXPECT) + BODY)
                    Thread.sleep(100)
                    gate.countDown()
                    caller.readResponse().shouldNotBeNull().body shouldBe FIRST_EVENT + SECOND_EVENT
                    caller.readResponse().shouldNotBeNull().status shouldBe 200
                }
            }
            // Callers before HTTP/1.1 know no interim responses and take one for the response.
            it("gets no interim response before HTTP/1.1") {
                withEngine({ it.respond(FIRST_EVENT) }) { caller, _ ->
                    caller.send(request("/s/x", "1", EXPECT, version = "1.0") + BODY)
                    caller.readToEnd().startsWith("HTTP/1.1 200 OK\r\n") shouldBe true
                }
            }
        }
    })
