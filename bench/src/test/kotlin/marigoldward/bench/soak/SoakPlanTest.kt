package marigoldward.bench.soak

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import marigoldward.bench.scenario.ScenarioGrammar

private val SEEDS = 1L..200L

/** The verbs that begin a fault of a process, each with the one that ends it. */
private val ENDS = mapOf(
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
        describe("the plan of a seed") {
            it("is always the same, and another for another seed") {
                SoakPlan.lines(7) shouldBe SoakPlan.lines(7)
                SoakPlan.lines(7) shouldNotBe SoakPlan.lines(8)
            }
            it("can be read as a scenario") {
                SEEDS.forEach { ScenarioGrammar.read(SoakPlan.lines(it).joinToString("\n")).shouldNotBeEmpty() }
            }
            it("has one fault of a process at a time, and ends each") {
                SEEDS.forEach { seed ->
                    val open = HashMap<String, String>()
                    SoakPlan.lines(seed).map { it.split(' ') }.filter { it.size > 1 }.forEach { (verb, target) ->
                        ENDS[verb]?.let { end -> open.put(target, end) shouldBe null }
                        if (verb in ENDS.values) verb shouldBeIn listOfNotNull(open.remove(target))
                    }
                    open shouldBe emptyMap()
                }
            }
        }
        describe("the list of seeds that are kept") {
            it("has a seed a line, with its reason, and remarks") {
                SoakSeeds.read("# remark\n\n7 why\n 8 other\n") shouldBe listOf(7L, 8L)
            }
            it("is refused if a line names none") {
                shouldThrow<IllegalArgumentException> { SoakSeeds.read("seven why") }
            }
        }
    })
