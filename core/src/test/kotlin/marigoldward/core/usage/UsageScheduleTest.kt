package marigoldward.core.usage

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull

private const val CALM_SEEDS = 40L
private const val ROUGH_SEEDS = 150L

/** Returns what the first seed that violates a rule with [fault] violates, or null if none does. */
private fun firstViolationOrNull(fault: UsageFault): String? = (1..ROUGH_SEEDS).firstNotNullOfOrNull { seed ->
    runCatching { UsageSchedule(seed, isCalm = false, fault).run() }.exceptionOrNull()?.message
}

class UsageScheduleTest :
    DescribeSpec({
        describe("the usage of entries under random schedules") {
            // Guards against wrong or late reports while clocks differ and jump.
            it("is reported in time and within 0.05 of the truth while nothing is lost") {
                (1..CALM_SEEDS).forEach { seed ->
                    withClue("seed $seed") { UsageSchedule(seed, isCalm = true).run() shouldBeGreaterThan 10 }
                }
            }
            // Guards against violations of the provider's rules by holders that freeze, change and lose answers.
            it(
                "has one set of counts a window, and tokens that never fall, not in the order A, B, A",
            ) {
                val windows = (1..ROUGH_SEEDS).sumOf { seed ->
                    withClue("seed $seed") { UsageSchedule(seed, isCalm = false).run() }
                }
                windows shouldBeGreaterThan (ROUGH_SEEDS * 2).toInt()
            }
        }
        describe("the checks of the schedules") {
            UsageFault.entries.forEach { fault ->
                it("find ${fault.name.lowercase().replace('_', ' ')}") {
                    firstViolationOrNull(fault).shouldNotBeNull().also { println("usage schedule, $fault: $it") }
                }
            }
        }
    })
