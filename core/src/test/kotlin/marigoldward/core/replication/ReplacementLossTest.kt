package marigoldward.core.replication

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

private const val DELAYS = 150
private const val STEP_MILLIS = 10L

/** Returns the delays, in steps, after which the loss of [lost] ends the cluster for good. */
private fun fatalDelays(isLeaderFrozen: Boolean, lost: ReplacementRun.Lost): List<Int> = (0..DELAYS).filter { delay ->
    ReplacementRun(isLeaderFrozen, STEP_MILLIS).endsForGood(lost, delay)
}

/** How often a leader plans changes of members, in steps: each 100 ms. */
private const val PLAN_PERIOD_STEPS = 10L

/** The time from the step in which a learner's acknowledgement is sent to the one in which the next entry arrives. */
private const val ROUND_TRIP_STEPS = 2

private fun runWithoutReturn(isLeaderFrozen: Boolean) =
    ReplacementRun(isLeaderFrozen, STEP_MILLIS, comesBack = false, PLAN_PERIOD_STEPS)

private fun fatalDelaysWithoutReturn(isLeaderFrozen: Boolean, lost: ReplacementRun.Lost): List<Int> =
    (0..DELAYS).filter { runWithoutReturn(isLeaderFrozen).endsForGood(lost, it) }

class ReplacementLossTest :
    DescribeSpec({
        // One lost disk ended the quorum for good while a spare replica took the place of one that was only frozen.
        describe("a cluster that replaces a frozen replica, when one disk is lost at any moment of it") {
            listOf("the leader" to true, "a follower" to false).forEach { (name, isLeaderFrozen) ->
                ReplacementRun.Lost.entries.forEach { lost ->
                    it("elects a leader with all committed entries: $name was frozen, ${lost.label} is lost") {
                        fatalDelays(isLeaderFrozen, lost).shouldBeEmpty()
                    }
                }
            }
        }
        // A spare replica that was lost in the 100 ms before its promotion, or in it, ended the quorum for good.
        describe("a cluster that replaces a replica that never comes back, when one more disk is lost") {
            listOf("the leader" to true, "a follower" to false).forEach { (name, isLeaderFrozen) ->
                listOf(ReplacementRun.Lost.SPARE, ReplacementRun.Lost.SPARE_REPLICA).forEach { lost ->
                    it("ends only in the round trip of the promotion: $name is gone, ${lost.label} is lost") {
                        val fatal = fatalDelaysWithoutReturn(isLeaderFrozen, lost)
                        fatal.size shouldBeLessThanOrEqual ROUND_TRIP_STEPS
                    }
                }
                listOf(ReplacementRun.Lost.LEADER, ReplacementRun.Lost.FOLLOWER).forEach { lost ->
                    it("elects a leader once the replaced one is removed: $name is gone, ${lost.label} is lost") {
                        val removedAfter = runWithoutReturn(isLeaderFrozen).stepsUntilRemoved()
                        val fatal = fatalDelaysWithoutReturn(isLeaderFrozen, lost)
                        fatal.filter { it >= removedAfter }.shouldBeEmpty()
                    }
                }
            }
        }
    })
