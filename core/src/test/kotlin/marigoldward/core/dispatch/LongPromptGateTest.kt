package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

class LongPromptGateTest :
    DescribeSpec({
        describe("a burst of long prompts") {
            it("is admitted up to the limit, the most urgent prompts first") {
                val gate = LongPromptGate<String>()
                gate.tryAdmit(limit = 1) shouldBe true
                gate.tryAdmit(limit = 1) shouldBe false
                gate.enqueue("routine 1", 2, 0)
                gate.enqueue("routine 2", 2, 1)
                gate.enqueue("urgent", 0, 2)
                listOf(gate.release(100, 1), gate.release(100, 1), gate.release(100, 1)) shouldBe
                    listOf("urgent", "routine 1", "routine 2")
                gate.release(100, 1).shouldBeNull()
                gate.tryAdmit(limit = 1) shouldBe true
            }
            it("is queued behind the prompts that already wait") {
                val gate = LongPromptGate<String>()
                gate.enqueue("first", 2, 0)
                gate.tryAdmit(limit = 3) shouldBe false
            }
            it("has an expected wait that grows with the prompts ahead of equal or higher priority") {
                val gate = LongPromptGate<String>()
                val empty = gate.expectedWaitMillis(priority = 2, limit = 2)
                repeat(5) { gate.enqueue("waits $it", 1, 0) }
                gate.expectedWaitMillis(priority = 2, limit = 2) shouldBeGreaterThan empty * 5
                gate.expectedWaitMillis(priority = 0, limit = 2) shouldBe empty
            }
            it("skips removed prompts") {
                val gate = LongPromptGate<String>()
                gate.tryAdmit(limit = 1)
                gate.enqueue("removed", 1, 0)
                gate.enqueue("stays", 1, 1)
                gate.remove("removed")
                gate.release(10, 1) shouldBe "stays"
            }
        }
        describe("short prompts") {
            it("are not limited") {
                LongPromptGate<String>().isLimited(1_460) shouldBe false
                LongPromptGate<String>().isLimited(17_000) shouldBe true
            }
        }
        describe("the limit of one gateway") {
            it("is its share of two prompts per prefill engine") {
                LongPromptGate.limitPerGateway(prefillEngines = 9, gateways = 6) shouldBe 3
                LongPromptGate.limitPerGateway(prefillEngines = 4, gateways = 8) shouldBe 1
                LongPromptGate.limitPerGateway(prefillEngines = 40, gateways = 82) shouldBe 1
                LongPromptGate.limitPerGateway(prefillEngines = 0, gateways = 0) shouldBe 1
            }
        }
    })
