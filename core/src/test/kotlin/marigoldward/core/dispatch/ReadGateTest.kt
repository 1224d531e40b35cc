package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

class ReadGateTest :
    DescribeSpec({
        describe("a burst of long prompts") {
            it("goes to the engines a few at a time, the most urgent first") {
                val gate = ReadGate<String>()
                gate.tryEnter(limit = 1) shouldBe true
                gate.tryEnter(limit = 1) shouldBe false
                gate.hold("routine 1", 2, 0)
                gate.hold("routine 2", 2, 1)
                gate.hold("urgent", 0, 2)
                listOf(gate.left(100, 1), gate.left(100, 1), gate.left(100, 1)) shouldBe
                    listOf("urgent", "routine 1", "routine 2")
                gate.left(100, 1).shouldBeNull()
                gate.tryEnter(limit = 1) shouldBe true
            }
            it("does not overtake what waits") {
                val gate = ReadGate<String>()
                gate.hold("first", 2, 0)
                gate.tryEnter(limit = 3) shouldBe false
            }
            it("is known to wait the longer the more are ahead") {
                val gate = ReadGate<String>()
                val empty = gate.expectedWaitMillis(priority = 2, limit = 2)
                repeat(5) { gate.hold("waits $it", 1, 0) }
                gate.expectedWaitMillis(priority = 2, limit = 2) shouldBeGreaterThan empty * 5
                gate.expectedWaitMillis(priority = 0, limit = 2) shouldBe empty
            }
            it("forgets callers that left") {
                val gate = ReadGate<String>()
                gate.tryEnter(limit = 1)
                gate.hold("left", 1, 0)
                gate.hold("stays", 1, 1)
                gate.forget("left")
                gate.left(10, 1) shouldBe "stays"
            }
        }
        describe("short prompts") {
            it("never wait at the gate") {
                ReadGate<String>().needsGate(1_460) shouldBe false
                ReadGate<String>().needsGate(17_000) shouldBe true
            }
        }
        describe("the limit of one entry") {
            it("is its part of twice the engines that read") {
                ReadGate.limit(readers = 9, entries = 6) shouldBe 3
                ReadGate.limit(readers = 4, entries = 8) shouldBe 1
                ReadGate.limit(readers = 40, entries = 82) shouldBe 1
                ReadGate.limit(readers = 0, entries = 0) shouldBe 1
            }
        }
    })
