package marigoldward.core.replication

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

private const val DELAYS = 150
private const val STEP_MILLIS = 10L

/** Returns the delays, in steps, after which the loss of [lost] ends the cluster for good. */
private fun fatalDelays(isLeaderFrozen: Boolean, lost: ReplacementRun.Lost): List<Int> = (0..DELAYS).filter { delay ->
    ReplacementRun(isLeaderFrozen, STEP_MILLIS).endsForGood(lost, delay)
}

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
    })
