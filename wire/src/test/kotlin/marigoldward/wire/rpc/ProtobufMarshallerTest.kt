package marigoldward.wire.rpc

import io.grpc.StatusRuntimeException
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.KSerializer
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.control.OperationId
import marigoldward.core.control.StoredAnswer
import marigoldward.core.model.CallerId
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.Members
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.Snapshot
import marigoldward.core.replication.SnapshotPoint
import marigoldward.wire.control.SubmitReply
import marigoldward.wire.peer.PeerEnvelope
import java.io.ByteArrayInputStream

private val SELF = ReplicaId(InstanceId.parse("control-1"), Long.MAX_VALUE)
private val KEY = IdempotencyKey(CallerId.parse("desk"), "key")
private val COMMANDS = listOf(
    ControlCommand.ApplyConfiguration(
        OperationId.parse("o"),
        Revision.NONE,
        ConfigurationBundle(SourceFile("base.ini", "text"), listOf(SourceFile("site.ini", ""))),
    ),
    ControlCommand.ClaimKey(KEY, "attempt", "hash", 5),
    ControlCommand.CompleteClaim(KEY, "attempt", StoredAnswer(201, "text/plain", null)),
)

private fun <T : Any> roundTrip(serializer: KSerializer<T>, value: T): T {
    val marshaller = ProtobufMarshaller(serializer)
    return marshaller.parse(marshaller.stream(value))
}

class ProtobufMarshallerTest :
    DescribeSpec({
        describe("messages") {
            it("are unchanged by encoding and decoding") {
                val entries = COMMANDS.mapIndexed { index, command ->
                    LogEntry(index + 1L, 3, EntryPayload.Command(command))
                }
                val members = EntryPayload.MembersChange(Members(setOf(SELF)))
                val state = COMMANDS.foldIndexed(ControlState.EMPTY) { index, current, command ->
                    ControlStateMachine.apply(current, index + 1L, command).state
                }
                val messages = listOf(
                    ReplicaMessage.Append(
                        3,
                        0,
                        0,
                        entries + LogEntry(9, 3, members) + LogEntry(10, 3, EntryPayload.Noop),
                        1,
                        4,
                    ),
                    ReplicaMessage.Install(3, Snapshot(SnapshotPoint(3, 3, Members(setOf(SELF))), state), 1),
                    ReplicaMessage.VoteRequest(1, isPreVote = true, 0, 0),
                )
                val envelope = PeerEnvelope(SELF, SELF, messages)
                roundTrip(PeerEnvelope.serializer(), envelope) shouldBe envelope
            }
            it("may be empty or hold null") {
                val reply: SubmitReply = SubmitReply.NotLeader(null)
                roundTrip(SubmitReply.serializer(), reply) shouldBe reply
                roundTrip(ControlState.serializer(), ControlState.EMPTY) shouldBe ControlState.EMPTY
            }
            it("that cannot be decoded are refused") {
                val garbage = ByteArrayInputStream(byteArrayOf(-1, -1, -1))
                shouldThrow<StatusRuntimeException> { ProtobufMarshaller(PeerEnvelope.serializer()).parse(garbage) }
            }
        }
    })
