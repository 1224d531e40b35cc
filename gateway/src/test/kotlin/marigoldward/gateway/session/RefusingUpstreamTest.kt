package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.TestGateway
import marigoldward.gateway.firstThenOthers

private const val REFUSED_MILLIS = 1_500L
private const val EVENT = "id: 1\ndata: a\n\n"

private fun FakeUpstream.Call.refuse() =
    respond("", "503 Service Unavailable", "X-Not-Run: 1\r\nX-Refuses-For: $REFUSED_MILLIS\r\n")

private fun FakeUpstream.Call.stream() = write(
    "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signed: s\r\nContent-Type: text/event-stream\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n${Integer.toHexString(EVENT.length)}\r\n$EVENT\r\n0\r\n\r\n",
)

/** Sends [count] requests to [path] one after the other, and returns the status of each. */
private fun sendAll(gateway: TestGateway, path: String, count: Int): List<Int?> = gateway.caller().use { caller ->
    List(count) { number ->
        caller.send("GET $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $number\r\nX-Prompt: shared\r\n\r\n")
        caller.readResponse()?.status
    }
}

class RefusingUpstreamTest :
    DescribeSpec({
        describe("an upstream that refuses a request and asks for no others for some time") {
            // Guards against an upstream in trouble that gets request after request in the time that it asked for.
            listOf("/i/x" to null, "/s/x" to EngineStage.DECODE).forEach { (path, stage) ->
                it("gets none in that time (${stage ?: "plain service"})") {
                    val answer: (FakeUpstream.Call) -> Unit =
                        { call -> if (stage == null) call.respond("ok") else call.stream() }
                    val script = firstThenOthers({ it.refuse() }, answer)
                    val upstreams = List(2) { FakeUpstream(script) }
                    TestGateway(upstreams.map { it.address to stage }).use { gateway ->
                        sendAll(gateway, path, 40) shouldBe List(40) { 200 }
                        upstreams.minOf { it.calls.size } shouldBe 1
                    }
                    upstreams.forEach(FakeUpstream::close)
                }
            }
            it("gets none if the service has no other upstream, whose requests end as not run, and some afterwards") {
                FakeUpstream(firstThenOthers({ it.refuse() }, { it.respond("ok") })).use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        sendAll(gateway, "/i/x", 5) shouldBe List(5) { 503 }
                        upstream.calls.size shouldBe 1
                        Thread.sleep(REFUSED_MILLIS)
                        sendAll(gateway, "/i/x", 5) shouldBe List(5) { 200 }
                    }
                }
            }
        }
    })
