package marigoldward.core.replication

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull

private const val SEEDS = 1_500L
private const val AUTOMATIC_SEEDS = 2_000L
private const val NAIVE_SEEDS = 400L

private fun firstViolation(rules: ScheduleRules): String? = (1..NAIVE_SEEDS).firstNotNullOfOrNull { seed ->
    runCatching { ReplicaSchedule(seed, rules).run() }.exceptionOrNull()?.message
}

class ReplicaScheduleTest :
    DescribeSpec({
        describe("replicas under random schedules") {
            it("keep one leader a term, every committed entry, growing tokens, one authority and one claim a key") {
                val committed = (1..SEEDS).sumOf { seed ->
                    ReplicaSchedule(seed, ScheduleRules()).apply { run() }.committedEntries
                }
                committed shouldBeGreaterThan (SEEDS * 50).toInt()
            }
        }
        describe("replicas whose members change without an operator") {
            it("keep what they committed and are never stuck once all are back") {
                val committed = (1..AUTOMATIC_SEEDS).sumOf { seed ->
                    ReplicaSchedule(seed, ScheduleRules(automatic = true))
                        .apply {
                            run()
                            settle()
                        }.committedEntries
                }
                committed shouldBeGreaterThan (AUTOMATIC_SEEDS * 50).toInt()
            }
            it("are found out if a wiped replica votes under its old identity") {
                firstViolation(ScheduleRules(automatic = true, keepsNameAfterWipe = true)).shouldNotBeNull()
            }
        }
        describe("the checks of the schedules") {
            it("find a wiped replica that votes under its old identity") {
                firstViolation(ScheduleRules(keepsNameAfterWipe = true)).shouldNotBeNull()
            }
            it("find a replica that loses acknowledged entries") {
                firstViolation(ScheduleRules(losesUnsynced = true, wipes = false)).shouldNotBeNull()
            }
            it("find a renewal of a lease that has run out") {
                firstViolation(ScheduleRules(renewsExpired = true, wipes = false)).shouldNotBeNull()
            }
            it("find a new leader that takes every lease for expired") {
                firstViolation(ScheduleRules(forgetsLeases = true, wipes = false)).shouldNotBeNull()
            }
        }
    })
