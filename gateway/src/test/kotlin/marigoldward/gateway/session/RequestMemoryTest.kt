package marigoldward.gateway.session

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import marigoldward.core.routes.CallerLimits
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import marigoldward.gateway.caller.RequestMemory
import kotlin.time.Duration.Companion.seconds

private const val BODY_BYTES = 100_000
private const val HELD_BODIES = 3
private const val CALLERS = 8
private const val IDLE_MILLIS = 1_000L

private fun head(lengthBytes: Int, path: String = "/n/x") =
    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nContent-Length: $lengthBytes\r\n\r\n"

private suspend fun TestGateway.awaitHeldBytes(expected: Long) =
    eventually(3.seconds) { onLoop { memory.heldBytes } shouldBe expected }

class RequestMemoryTest :
    DescribeSpec({
        lateinit var upstream: FakeUpstream
        lateinit var gateway: TestGateway
        beforeEach {
            upstream = FakeUpstream { it.respond("answer") }
            val memory = RequestMemory(maxBytes = HELD_BODIES * BODY_BYTES.toLong())
            val limits = CallerLimits.DEFAULT.copy(maxBodyBytes = 2 * BODY_BYTES, idleTimeoutMillis = IDLE_MILLIS)
            gateway = TestGateway(listOf(upstream.address to null), limits = limits, memory = memory)
        }
        afterEach {
            gateway.close()
            upstream.close()
        }

        // The bodies of a few large requests at once exhausted the heap; connections were closed without an answer.
        describe("requests whose bodies exceed the memory together") {
            it("are refused as not run, on connections that stay open, and leave the memory free") {
                val callers = List(CALLERS) { gateway.caller() }
                callers.forEach { it.send(head(BODY_BYTES) + "b".repeat(BODY_BYTES - 1)) }
                gateway.awaitHeldBytes(HELD_BODIES * (BODY_BYTES - 1L))
                callers.forEach { it.send("b") }
                val responses = callers.map { it.readResponse().shouldNotBeNull() }
                responses.count { it.status == 200 } shouldBe HELD_BODIES
                val refused = responses.filter { it.status == 503 }
                refused.size shouldBe CALLERS - HELD_BODIES
                refused.forEach { it.head shouldContain "Retry-After: " }
                upstream.calls.size shouldBe HELD_BODIES
                gateway.awaitHeldBytes(0)
                callers.forEach {
                    it.send(head(BODY_BYTES) + "b".repeat(BODY_BYTES))
                    it.readResponse().shouldNotBeNull().status shouldBe 200
                    it.close()
                }
            }
        }

        describe("the memory of a request") {
            it("is freed when its caller leaves within the body") {
                gateway.caller().use {
                    it.send(head(BODY_BYTES) + "b".repeat(BODY_BYTES - 1))
                    gateway.awaitHeldBytes(BODY_BYTES - 1L)
                }
                gateway.awaitHeldBytes(0)
            }
            it("is freed when its body is too large") {
                gateway.caller().use {
                    it.send(head(HELD_BODIES * BODY_BYTES) + "b".repeat(2 * BODY_BYTES + 1))
                    it.readResponse().shouldNotBeNull().status shouldBe 413
                    gateway.awaitHeldBytes(0)
                }
            }
            // Requests behind the last one of a connection kept their share for good, until all bodies were refused.
            it("is freed when it waits behind a request that ends the connection") {
                gateway.caller().use {
                    val last = head(BODY_BYTES).replace("X-Id: 1", "X-Id: 1\r\nConnection: close")
                    it.send(last + "b".repeat(BODY_BYTES) + head(BODY_BYTES) + "b".repeat(BODY_BYTES))
                    it.readResponse().shouldNotBeNull().status shouldBe 200
                    it.isClosed() shouldBe true
                }
                gateway.awaitHeldBytes(0)
            }
            // Callers that stopped within a body, or were cut off, held the memory for good, and all others were refused.
            it("is freed when its caller sends no more of the body") {
                val stalled = List(HELD_BODIES) { gateway.caller() }
                stalled.forEach { it.send(head(BODY_BYTES) + "b".repeat(BODY_BYTES - 1)) }
                gateway.awaitHeldBytes(HELD_BODIES * (BODY_BYTES - 1L))
                Thread.sleep(4 * IDLE_MILLIS)
                gateway.caller().use {
                    it.send(head(BODY_BYTES) + "b".repeat(BODY_BYTES))
                    it.readResponse().shouldNotBeNull().status shouldBe 200
                }
                stalled.forEach(RawCaller::close)
            }
            it("is freed when its caller leaves while it waits behind another, and when the gateway fails") {
                gateway.caller().use {
                    it.send(head(BODY_BYTES, TestGateway.FAILING_PATH) + "b".repeat(BODY_BYTES))
                    it.readResponse().shouldNotBeNull().status shouldBe 502
                    gateway.awaitHeldBytes(0)
                    it.send(head(BODY_BYTES) + "b".repeat(BODY_BYTES))
                    it.send(head(BODY_BYTES) + "b".repeat(BODY_BYTES))
                }
                gateway.awaitHeldBytes(0)
            }
        }

        // A caller that sent requests without reading the answers filled the heap with requests that waited.
        describe("a caller that sends many requests at once") {
            it("gets an answer to each, in order") {
                gateway.caller().use { caller: RawCaller ->
                    val requests = 1_000
                    caller.send(
                        (1..requests).joinToString("") {
                            "GET /n/$it HTTP/1.1\r\nHost: h.example\r\nX-Id: $it\r\n\r\n"
                        },
                    )
                    val ids = List(requests) {
                        Regex("X-Id: (\\d+)").find(caller.readResponse().shouldNotBeNull().head)?.groupValues?.get(1)
                    }
                    ids shouldBe (1..requests).map(Int::toString)
                }
            }
        }
    })
