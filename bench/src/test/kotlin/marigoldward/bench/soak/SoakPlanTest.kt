package marigoldward.bench.soak

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import marigoldward.bench.scenario.ScenarioGrammar

private val SEEDS = 1L..200L

/** The verbs that begin a fault of a process, each with the verb that ends it. */
private val END_VERBS = mapOf(
    "kill" to "start",
    "stop" to "start",
    "freeze" to "thaw",
    "cut" to "heal",
    "deafen" to "heal",
    "mute" to "heal",
    "slow" to "heal",
)

class SoakPlanTest :
    DescribeSpec({
        describe("the scenario of a seed") {
            it("is the same each time and differs for another seed") {
                SoakPlan.lines(7) shouldBe SoakPlan.lines(7)
                SoakPlan.lines(7) shouldNotBe SoakPlan.lines(8)
            }
            it("can be parsed as a scenario") {
                SEEDS.forEach { ScenarioGrammar.parseSteps(SoakPlan.lines(it).joinToString("\n")).shouldNotBeEmpty() }
            }
            it("has no overlapping faults of one process, and ends each fault") {
                SEEDS.forEach { seed ->
                    val open = HashMap<String, String>()
                    SoakPlan.lines(seed).map { it.split(' ') }.filter { it.size > 1 }.forEach { (verb, target) ->
                        END_VERBS[verb]?.let { end -> open.put(target, end) shouldBe null }
                        if (verb in END_VERBS.values) verb shouldBeIn listOfNotNull(open.remove(target))
                    }
                    open shouldBe emptyMap()
                }
            }
        }
        describe("the list of seeds that CI runs") {
            it("holds one seed per line followed by its reason, and comments") {
                SoakSeeds.parse("# remark\n\n7 why\n 8 other\n") shouldBe listOf(7L, 8L)
            }
            it("is rejected if a line does not begin with a seed") {
                shouldThrow<IllegalArgumentException> { SoakSeeds.parse("seven why") }
            }
        }
    })
