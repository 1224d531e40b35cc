package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import marigoldward.core.control.Fingerprint
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.PromptPart
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.TestGateway
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.RequestHead
import marigoldward.wire.feed.CrashCounts

private val DEADLY_PART = RequestFingerprints.of(PromptPart("deadly", 1))

private fun request(path: String, part: String): String =
    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Prompt: $part\r\nContent-Length: 2\r\n\r\n{}"

private fun TestGateway.update(entry: CrashCounts.Entry) = onLoop {
    crashSuspicions.update(CrashCounts(version = 1, listOf(entry)), nowMillis = 0)
}

private fun TestGateway.quarantine(fingerprint: Fingerprint) =
    update(CrashCounts.Entry(fingerprint, crashes = 3, CrashCounts.Quarantined(listOf(fingerprint))))

private fun TestGateway.suspect(fingerprint: Fingerprint) = update(CrashCounts.Entry(fingerprint, crashes = 1))

private fun FakeUpstream.Call.streamOneEvent() = write(
    "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
        "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
)

private fun withUpstreams(
    vararg upstreams: Pair<EngineStage?, (FakeUpstream.Call) -> Unit>,
    test: (TestGateway, List<FakeUpstream>) -> Unit,
) {
    val running = upstreams.map { FakeUpstream(it.second) }
    TestGateway(running.mapIndexed { index, upstream -> upstream.address to upstreams[index].first }).use { gateway ->
        test(gateway, running)
    }
    running.forEach(FakeUpstream::close)
}

class QuarantineTest :
    DescribeSpec({
        describe("a request with a quarantined part") {
            it("is refused as not run without reaching an engine; others with other parts are served") {
                withUpstreams(EngineStage.DECODE to { it.streamOneEvent() }) { gateway, upstreams ->
                    gateway.quarantine(DEADLY_PART)
                    gateway.caller().use { caller ->
                        caller.send(request("/r/x", "deadly"))
                        val refused = caller.readResponse().shouldNotBeNull()
                        refused.status shouldBe 503
                        refused.head shouldContain "Retry-After: 60.000"
                        caller.send(request("/r/x", "sound"))
                        caller.readResponse()?.status shouldBe 200
                    }
                    upstreams.single().calls.size shouldBe 1
                }
            }
            it("is refused, and its KV cache freed, if the quarantine begins during the prefill") {
                lateinit var running: TestGateway
                val prefill: (FakeUpstream.Call) -> Unit = { call ->
                    running.quarantine(DEADLY_PART)
                    call.respond("handle")
                }
                withUpstreams(
                    EngineStage.PREFILL to prefill,
                    EngineStage.DECODE to { it.streamOneEvent() },
                ) { gateway, upstreams ->
                    running = gateway
                    gateway.caller().use { caller ->
                        caller.send(request("/s/x", "deadly"))
                        caller.readResponse()?.status shouldBe 503
                    }
                    Thread.sleep(200)
                    upstreams[0].calls.last().head shouldContain "DELETE /cache/handle "
                    upstreams[1].calls.size shouldBe 0
                }
            }
        }
        describe("a quarantined request to a plain service") {
            it("is refused, and the same target with another body is served") {
                withUpstreams(null to { it.respond("done") }) { gateway, upstreams ->
                    val head = RequestHead("POST", "/i/x", Headers.of("Host" to "h.example"))
                    gateway.quarantine(RequestFingerprints.of(head, "{}".toByteArray()))
                    gateway.caller().use { caller ->
                        caller.send(request("/i/x", "any"))
                        caller.readResponse()?.status shouldBe 503
                        caller.send(request("/i/x", "any").replace("{}", "[]"))
                        caller.readResponse()?.status shouldBe 200
                    }
                    upstreams.single().calls.size shouldBe 1
                }
            }
        }
        describe("a request that loses its engine") {
            it("is sent to another one if no engine has crashed under its parts before") {
                withUpstreams(
                    EngineStage.DECODE to {
                        it.reset()
                    },
                    EngineStage.DECODE to { it.reset() },
                ) { gateway, upstreams ->
                    gateway.caller().use { caller ->
                        caller.send(request("/r/x", "deadly"))
                        caller.readResponse()?.status shouldBe 502
                    }
                    upstreams.sumOf { it.calls.size } shouldBe 2
                }
            }
            it("is not sent again if another one has crashed under one of its parts before") {
                withUpstreams(
                    EngineStage.DECODE to {
                        it.reset()
                    },
                    EngineStage.DECODE to { it.reset() },
                ) { gateway, upstreams ->
                    gateway.suspect(DEADLY_PART)
                    gateway.caller().use { caller ->
                        caller.send(request("/r/x", "deadly"))
                        caller.readResponse()?.status shouldBe 502
                    }
                    upstreams.sumOf { it.calls.size } shouldBe 1
                    val report = gateway.onLoop(gateway.crashSuspicions::takeReportOrNull).shouldNotBeNull()
                    report.crashes.single().requests.single().suspects.maxOf { it.knownCrashes } shouldBe 1
                }
            }
        }
        describe("a complete answer") {
            it("clears a suspected part") {
                withUpstreams(EngineStage.DECODE to { it.streamOneEvent() }) { gateway, _ ->
                    gateway.suspect(DEADLY_PART)
                    gateway.caller().use { caller ->
                        caller.send(request("/s/x", "deadly"))
                        caller.readResponse()?.status shouldBe 200
                    }
                    gateway.onLoop(gateway.crashSuspicions::takeReportOrNull)?.answered shouldBe listOf(DEADLY_PART)
                }
            }
        }
    })
