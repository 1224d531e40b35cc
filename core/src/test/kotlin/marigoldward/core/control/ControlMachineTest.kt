package marigoldward.core.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.core.model.CallerId
import marigoldward.core.model.DataCentre
import marigoldward.core.model.EngineRole
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision
import marigoldward.core.model.SiteName
import marigoldward.core.model.UpstreamId
import kotlin.random.Random

private val BUNDLE = ConfigurationBundle(SourceFile("base.ini", "x"), emptyList())
private val SCOPE = LeaseScope.forEngines(SiteName.parse("site"), DataCentre.parse("dc"))
private val ENGINE = UpstreamId.parse("engine-1")
private val KEY = IdempotencyKey(CallerId.parse("caller"), "key")

/** Applies commands to a state that starts empty, at increasing log indexes. */
private class CommandLog {
    var state = ControlState.EMPTY
    private var index = 0L

    fun apply(command: ControlCommand): ControlOutcome {
        val applied = ControlStateMachine.apply(state, ++index, command)
        state = applied.state
        return applied.outcome
    }

    fun applyConfiguration(operation: String, expected: Long): ControlOutcome =
        apply(ControlCommand.ApplyConfiguration(OperationId.parse(operation), Revision.fromNumber(expected), BUNDLE))

    fun grantLease(holder: String): FencingToken {
        val token = state.leases[SCOPE]?.token ?: FencingToken.NONE
        val outcome = apply(ControlCommand.GrantLease(SCOPE, InstanceId.parse(holder), token))
        return (outcome as ControlOutcome.LeaseGranted).token
    }
}

class ControlMachineTest :
    DescribeSpec({
        describe("configuration") {
            it("accepts one of two changes at the same revision, in 1,000 rounds, and repeats get the first outcome") {
                val log = CommandLog()
                val random = Random(5)
                repeat(1_000) { round ->
                    val operations = listOf("a-$round", "b-$round").shuffled(random)
                    val outcomes = operations.map { log.applyConfiguration(it, round.toLong()) }
                    val repeatedOutcomes = operations.shuffled(random).associateWith {
                        log.applyConfiguration(it, round.toLong())
                    }
                    outcomes[0] shouldBe ControlOutcome.ConfigurationApplied(Revision.fromNumber(round + 1L))
                    val winner = OperationId.parse(operations[0])
                    outcomes[1] shouldBe ControlOutcome.RevisionConflict(Revision.fromNumber(round + 1L), winner)
                    operations.map { repeatedOutcomes.getValue(it) } shouldBe outcomes
                }
                log.state.revision.number shouldBe 1_000
            }
        }
        describe("leases") {
            it("get increasing tokens, and commands with an older token are rejected") {
                val log = CommandLog()
                val oldToken = log.grantLease("one")
                val newToken = log.grantLease("two")
                (newToken > oldToken) shouldBe true
                val intent = ControlCommand.RecordIntent(SCOPE, oldToken, ENGINE, CommandId.parse("c"), 1)
                log.apply(intent) shouldBe ControlOutcome.StaleToken(newToken)
            }
        }
        describe("commands to engines") {
            it("are open one at a time, and the next lease holder can take over only the open one") {
                val log = CommandLog()
                val desired = EngineCommand.ChangeRole(EngineRole.DECODE)
                log.apply(ControlCommand.SetDesired(OperationId.parse("o"), ENGINE, 0, desired))
                val token = log.grantLease("one")
                log.apply(ControlCommand.RecordIntent(SCOPE, token, ENGINE, CommandId.parse("c1"), 1))
                    .shouldBeInstanceOf<ControlOutcome.IntentRecorded>()
                val nextToken = log.grantLease("two")
                log.apply(ControlCommand.RecordIntent(SCOPE, nextToken, ENGINE, CommandId.parse("c2"), 1))
                    .shouldBeInstanceOf<ControlOutcome.IntentOpen>()
                log.apply(ControlCommand.RecordIntent(SCOPE, nextToken, ENGINE, CommandId.parse("c1"), 1))
                    .shouldBeInstanceOf<ControlOutcome.IntentRecorded>().intent.token shouldBe nextToken
            }
        }
        describe("idempotency claims") {
            it("are granted to one attempt; a repeat gets the stored answer, and another request is refused") {
                val log = CommandLog()
                val claim = ControlCommand.ClaimKey(KEY, "attempt-1", "hash", 0)
                log.apply(claim) shouldBe ControlOutcome.Claimed
                log.apply(claim.copy(attemptId = "attempt-2")) shouldBe ControlOutcome.ClaimHeld("attempt-1")
                log.apply(claim.copy(attemptId = "attempt-3", requestFingerprint = "other")) shouldBe
                    ControlOutcome.KeyReused
                val answer = StoredAnswer(201, "text/plain", "booked")
                log.apply(ControlCommand.CompleteClaim(KEY, "attempt-1", answer)) shouldBe ControlOutcome.Done
                log.apply(claim.copy(attemptId = "attempt-2")) shouldBe ControlOutcome.AlreadyAnswered(answer)
            }
            it("can be released only by the attempt that holds them") {
                val log = CommandLog()
                val claim = ControlCommand.ClaimKey(KEY, "attempt-1", "hash", 0)
                log.apply(claim)
                log.apply(
                    ControlCommand.ReleaseClaim(KEY, "attempt-2"),
                ).shouldBeInstanceOf<ControlOutcome.Rejected>()
                log.apply(ControlCommand.ReleaseClaim(KEY, "attempt-1")) shouldBe ControlOutcome.Done
                log.apply(claim.copy(attemptId = "attempt-2")) shouldBe ControlOutcome.Claimed
            }
            it("expire after a day") {
                val log = CommandLog()
                val claim = ControlCommand.ClaimKey(KEY, "attempt-1", "hash", 0)
                log.apply(claim)
                log.apply(claim.copy(attemptId = "attempt-2", nowEpochMillis = 86_400_001)) shouldBe
                    ControlOutcome.Claimed
            }
        }
    })
