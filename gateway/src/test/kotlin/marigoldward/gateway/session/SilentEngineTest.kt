package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.LogCapture
import marigoldward.gateway.TestGateway

private const val TIMEOUT_MILLIS = 4_000L

private const val ANSWER_AFTER_MILLIS = 100L

private const val EVENT = "id: 1\ndata: second\n\n"

private fun request(id: String) =
    "POST /r/x HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\nX-Prompt: p\r\nContent-Length: 2\r\n\r\n{}"

/**
 * Sends a request to an engine that then answers another one and is gone, and passes the answer to [check] that comes
 * from the other engine.
 */
private fun withRequestAtGoneEngine(check: (TestGateway, String?) -> Unit) {
    val gone = FakeUpstream { call ->
        if (call.id == "held") Thread.sleep(TIMEOUT_MILLIS) else call.respond("")
    }
    val other = FakeUpstream { it.respond(EVENT) }
    val engines = listOf(gone, other)
    TestGateway(engines.map { it.address to EngineStage.DECODE }, timeoutMillis = TIMEOUT_MILLIS).use { gateway ->
        gateway.onLoop { gateway.updateUpstreams(gateway.listed.take(1)) }
        gateway.caller().use { caller ->
            caller.send(request("held"))
            while (gone.calls.isEmpty()) Thread.sleep(5)
            Thread.sleep(ANSWER_AFTER_MILLIS)
            gateway.caller().use { second ->
                second.send(request("answered"))
                second.readResponse()?.status shouldBe 200
            }
            gone.close()
            gateway.onLoop { gateway.updateUpstreams(gateway.listed) }
            check(gateway, caller.readResponse()?.body)
        }
    }
    other.close()
}

class SilentEngineTest :
    DescribeSpec({
        describe("an engine that answers another request, and is gone without closing its connections") {
            // Guards against a stream that waits until its deadline, as its engine was watched for silence only once.
            it("has its other requests sent to another engine before their deadline") {
                withRequestAtGoneEngine { _, answer -> answer shouldBe EVENT }
            }
            // Guards against new requests that are placed at an engine that a failed probe has shown to be gone.
            it("is ejected by the failed probe") {
                withRequestAtGoneEngine { gateway, _ ->
                    val health = gateway.health(0)
                    health.consecutiveFailures shouldBe 1
                    health.ejectedUntilMillis shouldBeGreaterThan health.lastFailureMillis
                }
            }
            // Guards against a log line that calls the age of the attempt the time without bytes.
            it("is logged with the time since its last byte") {
                LogCapture("session").use { log ->
                    withRequestAtGoneEngine { _, _ ->
                        val line = log.linesWith("request=held", "end=silent").single()
                        val silentMillis = Regex("nothing came for (\\d+) ms").find(line)?.groupValues?.get(1)?.toLong()
                        val tookMillis = Regex("took_ms=(\\d+)").find(line)?.groupValues?.get(1)?.toLong()
                        checkNotNull(tookMillis) - checkNotNull(silentMillis) shouldBeGreaterThan
                            ANSWER_AFTER_MILLIS / 2
                    }
                }
            }
        }

        describe("an engine that accepts no connection for 3 s while 40 requests wait for it") {
            // Guards against probes of every waiting request that fill the engine's queue and then fail sound requests.
            it("answers all of them in the end and gets one probe in 0.8 s") {
                val engine = FakeUpstream(acceptDelayMillis = 3_000) { it.respond(EVENT) }
                TestGateway(listOf(engine.address to EngineStage.DECODE), timeoutMillis = 8_000).use { gateway ->
                    val callers = List(40) { gateway.caller() }
                    callers.forEachIndexed { index, caller -> caller.send(request("r$index")) }
                    callers.map { it.readResponse()?.status }.groupingBy { it }.eachCount() shouldBe mapOf(200 to 40)
                    engine.calls.size shouldBe 40
                    engine.connectionCount.get() shouldBeLessThanOrEqual 45
                    callers.forEach { it.close() }
                }
                engine.close()
            }
        }
    })
