package marigoldward.gateway.caller

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.serving.CallerBounds
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import kotlin.time.Duration.Companion.seconds

private const val HEAD_BYTES = 1_000_000L
private const val FIELDS = 1_000
private const val CALLERS = 12
private const val STALLED_MILLIS = 100L
private const val START = "GET /n/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n"
private val MANY_FIELDS = "a:\r\n".repeat(FIELDS)

private suspend fun TestGateway.awaitFreeHeads() = eventually(5.seconds) { onLoop { memory.heldHeadBytes } shouldBe 0 }

class HeadMemoryTest :
    DescribeSpec({
        lateinit var upstream: FakeUpstream
        lateinit var gateway: TestGateway
        beforeEach {
            upstream = FakeUpstream { it.respond("answer") }
            val bounds = CallerBounds(1_000_000, HEAD_BYTES, CALLERS + 1, 4, 2 * FIELDS, STALLED_MILLIS)
            gateway = TestGateway(listOf(upstream.address to null), memory = RequestMemory(bounds))
        }
        afterEach {
            gateway.close()
            upstream.close()
        }

        // Guards against heads of many short fields, which take 50 times their size, that exhaust the heap.
        describe("heads that take more memory than there is") {
            it("are refused where they stopped, and leave the memory to others") {
                val stalled = List(CALLERS) { gateway.caller().apply { send(START + MANY_FIELDS) } }
                Thread.sleep(2 * STALLED_MILLIS)
                onLoopHeldHeads(gateway) shouldBeLessThanOrEqual HEAD_BYTES.toInt()
                eventually(5.seconds) {
                    gateway.caller().use {
                        it.send("$START$MANY_FIELDS\r\n")
                        it.readResponse().shouldNotBeNull().status shouldBe 200
                    }
                }
                stalled.forEach(RawCaller::close)
                gateway.awaitFreeHeads()
            }
            it("are counted with requests ahead, trailers and refused heads, and freed") {
                gateway.caller().use {
                    it.send("$START\r\n".repeat(20))
                    repeat(20) { _ -> it.readResponse().shouldNotBeNull().status shouldBe 200 }
                    it.send("${START}Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nt: 1\r\n")
                    it.send("\r\n")
                    it.readResponse().shouldNotBeNull().status shouldBe 200
                    gateway.awaitFreeHeads()
                    it.send(START + MANY_FIELDS.repeat(2) + "b:\r\n")
                    it.readResponse().shouldNotBeNull().status shouldBe 431
                }
                gateway.awaitFreeHeads()
            }
        }

        // Guards against callers that take all descriptors, of which upstreams need some.
        describe("a connection above the bound") {
            it("is closed, and one is accepted after an idle one was closed for it") {
                val idle = List(CALLERS + 1) { gateway.caller() }
                eventually(5.seconds) {
                    gateway.caller().use {
                        it.send("$START\r\n")
                        it.readResponse().shouldNotBeNull().status shouldBe 200
                    }
                }
                idle.forEach(RawCaller::close)
            }
        }
    })

private fun onLoopHeldHeads(gateway: TestGateway): Int = gateway.onLoop { gateway.memory.heldHeadBytes }.toInt()
