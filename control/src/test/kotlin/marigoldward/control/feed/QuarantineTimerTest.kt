package marigoldward.control.feed

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.LostRequest
import marigoldward.core.model.UpstreamId

private val FINGERPRINT = Fingerprint.parse("dead")

private fun quarantined(): ControlState = (0..2).fold(ControlState.EMPTY) { state, crash ->
    val lost = LostRequest(listOf(LostRequest.Suspect(FINGERPRINT, crash)))
    val command = ControlCommand.ReportCrash(UpstreamId.parse("u-$crash"), listOf(lost))
    ControlStateMachine.apply(state, crash + 1L, command).state
}

class QuarantineTimerTest :
    DescribeSpec({
        describe("a quarantine") {
            val duration = quarantined().suspects.getValue(FINGERPRINT).quarantineMillis

            it("is over after its duration, and only for the leader") {
                val timer = QuarantineTimer()
                timer.due(quarantined(), isLeader = true, nowMillis = 5).shouldBeEmpty()
                timer.due(quarantined(), isLeader = true, nowMillis = 4 + duration).shouldBeEmpty()
                timer.due(quarantined(), isLeader = true, nowMillis = 5 + duration) shouldContainExactly
                    listOf(FINGERPRINT)
            }
            it("starts anew with a new leader and after it has ended") {
                val timer = QuarantineTimer()
                timer.due(quarantined(), isLeader = true, nowMillis = 0)
                timer.due(quarantined(), isLeader = false, nowMillis = 10).shouldBeEmpty()
                timer.due(quarantined(), isLeader = true, nowMillis = 20 + duration).shouldBeEmpty()
                timer.due(ControlState.EMPTY, isLeader = true, nowMillis = 30 + duration).shouldBeEmpty()
                timer.due(quarantined(), isLeader = true, nowMillis = 40 + 2 * duration).shouldBeEmpty()
            }
        }
    })
