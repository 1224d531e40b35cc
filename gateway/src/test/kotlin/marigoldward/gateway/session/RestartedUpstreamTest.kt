package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway

private const val TIMEOUT_MILLIS = 6_000L
private const val EVENT = "id: 1\ndata: second\n\n"

private fun RawCaller.ask(path: String, id: String) =
    send("POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\nX-Prompt: p\r\nContent-Length: 2\r\n\r\n{}")

private fun RawCaller.statusOf(path: String, id: String): Int? {
    ask(path, id)
    return readResponse()?.status
}

/** Lists the first upstream as started at [startedUnixMillis], before the others. */
private fun TestGateway.list(startedUnixMillis: Long, upstreams: List<ListedUpstream> = listed) = onLoop {
    updateUpstreams(listOf(upstreams.first().copy(startedUnixMillis = startedUnixMillis)) + upstreams.drop(1))
}

class RestartedUpstreamTest :
    DescribeSpec({
        describe("an upstream that is listed with another time of start at its address") {
            // Guards against a refusal of the start before that keeps requests away from the next one.
            it("gets requests, though the start before refused them for a minute") {
                var refuses = true
                val upstream = FakeUpstream { call ->
                    if (refuses) {
                        call.respond("", "503 Service Unavailable", "X-Not-Run: 1\r\nX-Refuses-For: 60000\r\n")
                    } else {
                        call.respond("ok")
                    }
                }
                TestGateway(listOf(upstream.address to null)).use { gateway ->
                    gateway.list(startedUnixMillis = 1)
                    gateway.caller().use { it.statusOf("/i/x", "a") shouldBe 503 }
                    refuses = false
                    gateway.caller().use { it.statusOf("/i/x", "b") shouldBe 503 }
                    gateway.list(startedUnixMillis = 2)
                    gateway.caller().use { it.statusOf("/i/x", "c") shouldBe 200 }
                }
                upstream.close()
            }
            it("has the idle connections to the start before closed") {
                val upstream = FakeUpstream { it.respond("ok") }
                TestGateway(listOf(upstream.address to null)).use { gateway ->
                    gateway.list(startedUnixMillis = 1)
                    gateway.caller().use { it.statusOf("/i/x", "a") shouldBe 200 }
                    gateway.list(startedUnixMillis = 2)
                    upstream.awaitClosed() shouldBe "a"
                    gateway.caller().use { it.statusOf("/i/x", "b") shouldBe 200 }
                    upstream.connectionCount.get() shouldBe 2
                }
                upstream.close()
            }
            // Guards against a request that waits for a start that is over, because the next one answers others.
            it("has the requests of the start before sent to another engine, though it answers others") {
                val restarted = FakeUpstream { call ->
                    if (call.id == "held") Thread.sleep(TIMEOUT_MILLIS) else call.respond(EVENT)
                }
                val other = FakeUpstream { it.respond(EVENT) }
                val addresses = listOf(restarted, other).map { it.address to EngineStage.DECODE }
                TestGateway(addresses, timeoutMillis = TIMEOUT_MILLIS).use { gateway ->
                    gateway.list(startedUnixMillis = 1, gateway.listed.take(1))
                    gateway.caller().use { caller ->
                        caller.ask("/r/x", "held")
                        while (restarted.calls.isEmpty()) Thread.sleep(5)
                        gateway.list(startedUnixMillis = 2)
                        val startNanos = System.nanoTime()
                        val answer = caller.readResponse().shouldNotBeNull()
                        answer.body shouldBe EVENT
                        (System.nanoTime() - startNanos) / 1_000_000 shouldBeLessThan TIMEOUT_MILLIS / 2
                    }
                    gateway.health(0).consecutiveFailures shouldBe 0
                }
                restarted.close()
                other.close()
            }
        }
    })
