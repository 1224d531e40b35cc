package marigoldward.control.usage

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState
import marigoldward.core.control.ControlStateMachine
import marigoldward.core.control.EngineRecord
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.IdempotencyClaim
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.control.LeaseRecord
import marigoldward.core.control.LeaseScope
import marigoldward.core.control.OperationId
import marigoldward.core.control.StateMap
import marigoldward.core.control.Suspicion
import marigoldward.core.model.Revision
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.RouteDocument

/** The control state as the version before usage windows declared it. */
@Serializable
private data class EarlierControlState(
    val revision: Revision,
    val revisionOperation: OperationId?,
    val bundle: ConfigurationBundle?,
    val leases: StateMap<LeaseScope, LeaseRecord>,
    val engines: StateMap<UpstreamId, EngineRecord>,
    val operations: StateMap<OperationId, ControlOutcome>,
    val claims: StateMap<IdempotencyKey, IdempotencyClaim>,
    val quarantine: StateMap<Fingerprint, String>,
    val quarantineVersion: Long,
    val routes: RouteDocument? = null,
    val suspects: StateMap<Fingerprint, Suspicion> = persistentMapOf(),
)

/** Commands of a version that knows none of the usage windows. */
@Serializable
private sealed interface EarlierCommand {
    @Serializable
    @SerialName("quarantine")
    data class Quarantine(val fingerprint: Fingerprint, val reason: String) : EarlierCommand
}

@OptIn(ExperimentalSerializationApi::class)
class UsageEncodingTest :
    DescribeSpec({
        val commands = listOf(
            ControlCommand.RecordUsage(7, emptyMap()),
            ControlCommand.RecordUsage(8, mapOf("small" to 1L, "large" to Long.MAX_VALUE)),
            ControlCommand.RecordUsage(9, mapOf("small" to 0L)),
            ControlCommand.RecordUsage(10, emptyMap()),
        )
        val state = commands.foldIndexed(ControlState.EMPTY) { index, state, command ->
            ControlStateMachine.apply(state, index + 1L, command).state
        }

        describe("the control state with usage windows") {
            // Guards against a snapshot that no replica can read because a window has no requests.
            it("is the same after it was written and read") {
                val bytes = ProtoBuf.encodeToByteArray(ControlState.serializer(), state)
                ProtoBuf.decodeFromByteArray(ControlState.serializer(), bytes) shouldBe state
            }
            // Guards against a replica of the version before that can't install a snapshot of this one.
            it("can be read by the version before, which ignores the windows") {
                val bytes = ProtoBuf.encodeToByteArray(ControlState.serializer(), state)
                val earlier = ProtoBuf.decodeFromByteArray(EarlierControlState.serializer(), bytes)
                earlier.quarantineVersion shouldBe state.quarantineVersion
            }
            // Guards against a data folder of the version before that can't be opened.
            it("is read from a snapshot of the version before as one without windows") {
                val earlier = with(ControlState.EMPTY) {
                    EarlierControlState(
                        revision, revisionOperation, bundle, leases, engines, operations, claims, quarantine,
                        quarantineVersion,
                    )
                }
                val bytes = ProtoBuf.encodeToByteArray(EarlierControlState.serializer(), earlier)
                ProtoBuf.decodeFromByteArray(ControlState.serializer(), bytes) shouldBe ControlState.EMPTY
            }
        }

        describe("the commands of usage windows") {
            it("are the same after they were written and read") {
                (commands + ControlCommand.MarkUsageReported(0)).forEach { command ->
                    val bytes = ProtoBuf.encodeToByteArray(ControlCommand.serializer(), command)
                    ProtoBuf.decodeFromByteArray(ControlCommand.serializer(), bytes) shouldBe command
                }
            }
            // States what holds: a replica of the version before can't read them, so they must not be written too
            // early.
            it("can't be read by the version before") {
                val bytes = ProtoBuf.encodeToByteArray(ControlCommand.serializer(), commands.first())
                shouldThrow<SerializationException> {
                    ProtoBuf.decodeFromByteArray(EarlierCommand.serializer(), bytes)
                }
            }
        }
    })
