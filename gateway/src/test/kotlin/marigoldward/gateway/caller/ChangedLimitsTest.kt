package marigoldward.gateway.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.routes.CallerLimits
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway

private val SMALL = CallerLimits.DEFAULT.copy(maxHeaderBytes = 1_000)
private val LARGE = CallerLimits.DEFAULT.copy(maxHeaderBytes = 8_000)

private fun request(paddingBytes: Int): String =
    "GET /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: $paddingBytes\r\nX-Padding: ${"p".repeat(paddingBytes)}\r\n\r\n"

private fun withKeptConnection(limits: CallerLimits, test: (TestGateway, RawCaller) -> Unit) =
    FakeUpstream { it.respond("done") }.use { upstream ->
        TestGateway(listOf(upstream.address to null), limits = limits).use { gateway ->
            gateway.caller().use { caller ->
                caller.send(request(10))
                caller.readResponse().shouldNotBeNull().status shouldBe 200
                test(gateway, caller)
            }
        }
    }

// Guards against limits of a configuration that are not in force on connections that were open before it.
class ChangedLimitsTest :
    DescribeSpec({
        describe("on a connection that was open before the limit of heads changed") {
            it("a head within the new limit is accepted") {
                withKeptConnection(SMALL) { gateway, caller ->
                    gateway.limits = LARGE
                    caller.send(request(4_000))
                    caller.readResponse().shouldNotBeNull().status shouldBe 200
                }
            }
            it("a head beyond the new limit is rejected") {
                withKeptConnection(LARGE) { gateway, caller ->
                    gateway.limits = SMALL
                    caller.send(request(4_000))
                    caller.readResponse().shouldNotBeNull().status shouldBe 431
                }
            }
            it("a head that had begun to come before is judged by the old one") {
                withKeptConnection(SMALL) { gateway, caller ->
                    caller.send(request(100).take(20))
                    Thread.sleep(100)
                    gateway.limits = LARGE
                    caller.send(request(100).drop(20))
                    caller.readResponse().shouldNotBeNull().status shouldBe 200
                    caller.send(request(4_000))
                    caller.readResponse().shouldNotBeNull().status shouldBe 200
                }
            }
            // Guards against a connection that keeps old limits for good, as its caller ends bodies with empty lines.
            it("apply to a connection whose caller sends empty lines between requests") {
                withKeptConnection(SMALL) { gateway, caller ->
                    caller.send(request(100) + "\r\n")
                    caller.readResponse().shouldNotBeNull().status shouldBe 200
                    gateway.limits = LARGE
                    caller.send(request(2_000) + "\r\n")
                    caller.readResponse().shouldNotBeNull().status shouldBe 200
                }
            }
            // A request got 400 if the lines that came with the request before it were decoded before the change.
            it("a head that had begun to come with the request before is understood") {
                withKeptConnection(SMALL) { gateway, caller ->
                    val lines = "GET /i/x HTTP/1.1\r\nHost: h.example\r\n"
                    caller.send(request(100) + lines)
                    caller.readResponse().shouldNotBeNull().status shouldBe 200
                    gateway.limits = LARGE
                    caller.send(request(100).removePrefix(lines))
                    caller.readResponse().shouldNotBeNull().status shouldBe 200
                }
            }
        }
    })
