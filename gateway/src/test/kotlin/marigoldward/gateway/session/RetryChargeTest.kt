package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.TestGateway
import marigoldward.gateway.firstThenOthers
import java.util.concurrent.atomic.AtomicInteger

private const val EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

private fun request(path: String): String =
    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Prompt: shared\r\nContent-Length: 2\r\n\r\n{}"

private fun FakeUpstream.Call.beginStream(text: String) = write(
    "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signed: s\r\nContent-Type: text/event-stream\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n${Integer.toHexString(text.length)}\r\n$text\r\n",
)

private fun FakeUpstream.Call.streamAll() {
    beginStream(EVENTS)
    write("0\r\n\r\n")
}

private fun FakeUpstream.Call.breakOffAfterFirstEvent() {
    beginStream(EVENTS.substringBefore("id: 2"))
    Thread.sleep(50)
    reset()
}

private fun FakeUpstream.Call.refuse() = respond("", "503 Service Unavailable", "X-Not-Run: 1\r\n")

/** The calls that one request caused, and the body that its caller got. */
private class Outcome(val prefillCalls: Int, val decodeCalls: Int, val body: String?) {
    /** The arrivals that the budget has to cover: the first that may run is free, and so is the first prefill. */
    val extraArrivals: Int get() = maxOf(0, prefillCalls - 1) + maxOf(0, decodeCalls - 1)
}

/** Sends one request, with budget for [retries] retries, to a prefill engine and decode engines that run [decode]. */
private fun send(path: String, retries: Int, decode: (FakeUpstream.Call) -> Unit): Outcome {
    val prefill = FakeUpstream { it.respond("handle") }
    val decodeEngines = List(3) { FakeUpstream(decode) }
    val engines =
        listOf(prefill.address to EngineStage.PREFILL) + decodeEngines.map { it.address to EngineStage.DECODE }
    val body =
        TestGateway(engines, retryBudgetSlack = retries + 1).use { gateway ->
            gateway.caller().use { caller ->
                caller.send(request(path))
                caller.readResponse()?.body
            }
        }
    (decodeEngines + prefill).forEach(FakeUpstream::close)
    return Outcome(prefill.calls.count { "X-Step: prefill" in it.head }, decodeEngines.sumOf { it.calls.size }, body)
}

class RetryChargeTest :
    DescribeSpec({
        describe("a stream that is resumed on another engine") {
            // Guards against a prompt that is processed again for a retry without being charged to the budget.
            it("has its prompt processed again by that engine if the budget holds no second retry") {
                val outcome =
                    send("/r/x", retries = 1, firstThenOthers({ it.breakOffAfterFirstEvent() }, { it.streamAll() }))
                outcome.body shouldBe EVENTS
                outcome.extraArrivals shouldBe 1
            }
            it("has its prompt processed again by a prefill engine if the budget holds another retry") {
                val outcome =
                    send("/r/x", retries = 2, firstThenOthers({ it.breakOffAfterFirstEvent() }, { it.streamAll() }))
                outcome.body shouldBe EVENTS
                outcome.prefillCalls shouldBe 2
                outcome.extraArrivals shouldBe 2
            }
        }
        describe("a request whose KV cache decode engines refuse") {
            it("is sent on with the same cache, and each further engine is charged") {
                val refusals = AtomicInteger()
                val outcome =
                    send("/s/x", retries = 1) { if (refusals.getAndIncrement() == 0) it.refuse() else it.streamAll() }
                outcome.body shouldBe EVENTS
                outcome.prefillCalls shouldBe 1
                outcome.extraArrivals shouldBe 1
            }
        }
    })
