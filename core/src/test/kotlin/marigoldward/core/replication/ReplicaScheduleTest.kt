package marigoldward.core.replication

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull

private const val SEEDS = 1_500L
private const val PLANNER_SEEDS = 2_000L
private const val OVERLAP_SEEDS = 1_000L
private const val BUG_SEEDS = 400L
private val OVERLAPPING = ScheduleRules(usesMembershipPlanner = true, overlapsLosses = true)

/** Returns the message of the first violated invariant, or null if no seed violates one. */
private fun firstViolationOrNull(rules: ScheduleRules): String? = (1..BUG_SEEDS).firstNotNullOfOrNull { seed ->
    runCatching { ReplicaSchedule(seed, rules).run() }.exceptionOrNull()?.message
}

class ReplicaScheduleTest :
    DescribeSpec({
        describe("replicas under random schedules") {
            it("keep one leader per term, committed entries, growing tokens, one lease holder and one claim per key") {
                val committed = (1..SEEDS).sumOf { seed ->
                    ReplicaSchedule(seed, ScheduleRules()).apply { run() }.committedCount
                }
                committed shouldBeGreaterThan (SEEDS * 50).toInt()
            }
        }
        describe("replicas with planned membership changes") {
            it("keep committed entries and make progress again after faults") {
                val committed = (1..PLANNER_SEEDS).sumOf { seed ->
                    ReplicaSchedule(seed, ScheduleRules(usesMembershipPlanner = true))
                        .apply {
                            run()
                            recover()
                        }.committedCount
                }
                committed shouldBeGreaterThan (PLANNER_SEEDS * 50).toInt()
            }
            it("violate an invariant if a replica votes under its old identity after losing its disk") {
                val rules = ScheduleRules(usesMembershipPlanner = true, keepsIncarnationAfterWipe = true)
                firstViolationOrNull(rules).shouldNotBeNull()
            }
        }
        // Guards against committed entries that are gone, or read in an older state, beside replacements and freezes.
        describe("replicas with a spare one, of which some are frozen or down while a disk is lost") {
            it("keep committed entries, read no older state, and make progress once all are back") {
                val committed = (1..OVERLAP_SEEDS).sumOf { seed ->
                    ReplicaSchedule(seed, OVERLAPPING)
                        .apply {
                            run()
                            recover()
                        }.committedCount
                }
                committed shouldBeGreaterThan (OVERLAP_SEEDS * 50).toInt()
            }
        }
        describe("the invariant checks") {
            it("detect a read by a leader that doesn't ask the others") {
                firstViolationOrNull(OVERLAPPING.copy(readsWithoutQuorum = true)).shouldNotBeNull()
            }
            it("detect a replica that votes under its old identity after losing its disk") {
                firstViolationOrNull(ScheduleRules(keepsIncarnationAfterWipe = true)).shouldNotBeNull()
            }
            it("detect a replica that loses acknowledged entries") {
                firstViolationOrNull(
                    ScheduleRules(losesLastEntryOnRestart = true, wipesDisks = false),
                ).shouldNotBeNull()
            }
            it("detect the renewal of an expired lease") {
                firstViolationOrNull(ScheduleRules(renewsExpiredLeases = true, wipesDisks = false)).shouldNotBeNull()
            }
            it("detect a new leader that considers all leases expired") {
                firstViolationOrNull(
                    ScheduleRules(expiresLeasesOnElection = true, wipesDisks = false),
                ).shouldNotBeNull()
            }
        }
    })
