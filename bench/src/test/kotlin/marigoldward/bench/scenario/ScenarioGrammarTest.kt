package marigoldward.bench.scenario

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

class ScenarioGrammarTest :
    DescribeSpec({
        describe("the scenario grammar") {
            it("parses each step with the number of its line") {
                ScenarioGrammar.parseSteps("# why\n\nexpect status \"voters=.*a#2\" within=5\n").shouldContainExactly(
                    ScenarioStep(3, "expect", listOf("status", "voters=.*a#2"), mapOf("within" to "5")),
                )
            }
            it("reports the line that is not a step") {
                shouldThrow<ScenarioFailure> { ScenarioGrammar.parseSteps("start a\nstop =b\n") }.line shouldBe 2
            }
        }
    })
