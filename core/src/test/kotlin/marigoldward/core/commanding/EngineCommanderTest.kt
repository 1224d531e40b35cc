package marigoldward.core.commanding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.control.CommandId
import marigoldward.core.control.CommandIntent
import marigoldward.core.control.CommandResult
import marigoldward.core.control.EngineCommand
import marigoldward.core.control.EngineRecord
import marigoldward.core.model.EngineRole
import marigoldward.core.model.FencingToken
import marigoldward.core.model.UpstreamId

private val ENGINE = UpstreamId.parse("engine-1")
private val TOKEN = FencingToken.fromNumber(7)
private val COMMAND = EngineCommand.ChangeRole(EngineRole.PREFILL)
private val COMMAND_ID = CommandId.parse("engine-1-v1")
private val REPORTED =
    ReportedEngineState(
        role = EngineRole.MIXED,
        model = "m",
        version = "1",
        adapters = emptyList(),
        isDraining = false,
        isChanging = false,
        openRequests = 2,
        lastCommandId = null,
    )
private val RECORD = EngineRecord(version = 1, desired = COMMAND)
private val RECORD_WITH_INTENT = RECORD.copy(openIntent = CommandIntent(COMMAND_ID, COMMAND, 1, TOKEN))

private fun nextStep(
    record: EngineRecord,
    reported: ReportedEngineState = REPORTED,
    token: FencingToken = TOKEN,
): CommandStep = EngineCommander.nextStep(ENGINE, record, reported, token)

class EngineCommanderTest :
    DescribeSpec({
        describe("a role change") {
            it("is recorded before anything is sent") {
                nextStep(RECORD) shouldBe CommandStep.RecordIntent(COMMAND_ID, 1)
            }
            it("drains the engine and waits for its open requests before the role is changed") {
                nextStep(RECORD_WITH_INTENT).shouldBeInstanceOf<CommandStep.Send>().command shouldBe EngineCommand.Drain
                val draining = REPORTED.copy(isDraining = true)
                nextStep(RECORD_WITH_INTENT, draining).shouldBeInstanceOf<CommandStep.Wait>()
                val drained = REPORTED.copy(isDraining = true, openRequests = 0)
                nextStep(RECORD_WITH_INTENT, drained).shouldBeInstanceOf<CommandStep.Send>().command shouldBe COMMAND
            }
            it("is recorded again by a new lease holder under its own token before it is sent") {
                val newToken = FencingToken.fromNumber(9)
                nextStep(RECORD_WITH_INTENT, token = newToken) shouldBe CommandStep.RecordIntent(COMMAND_ID, 1)
            }
            it("is done once the engine reports the new role") {
                val reported =
                    REPORTED.copy(role = EngineRole.PREFILL, lastCommandId = COMMAND_ID.text, openRequests = 0)
                val step = nextStep(RECORD_WITH_INTENT, reported).shouldBeInstanceOf<CommandStep.RecordOutcome>()
                step.outcome.result shouldBe CommandResult.DONE
            }
            it("sets the engine aside if it reports another role after the command") {
                val reported =
                    REPORTED.copy(role = EngineRole.DECODE, lastCommandId = COMMAND_ID.text, openRequests = 0)
                val step = nextStep(RECORD_WITH_INTENT, reported).shouldBeInstanceOf<CommandStep.RecordOutcome>()
                step.isSetAside shouldBe true
                step.outcome.result shouldBe CommandResult.MISMATCH
            }
        }
        describe("an engine without a desired command") {
            it("is left unchanged") { nextStep(EngineRecord()) shouldBe CommandStep.Idle }
        }
    })
