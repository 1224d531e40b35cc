package marigoldward.core.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.RouteDocument

/** A change to the replicated control state. */
@Serializable
public sealed interface ControlCommand {
    /** About how large the command is on the wire, in bytes. */
    public val approximateBytes: Long get() = SMALL_COMMAND_BYTES

    /** Replaces the configuration if it is still at [expectedRevision]. */
    @Serializable
    @SerialName("apply-configuration")
    public data class ApplyConfiguration(
        val operationId: OperationId,
        val expectedRevision: Revision,
        val bundle: ConfigurationBundle,
    ) : ControlCommand {
        override val approximateBytes: Long
            get() = SMALL_COMMAND_BYTES + bundle.base.text.length + bundle.overlays.sumOf { it.text.length }
    }

    /** Sets what an engine should carry out, if its record is still at [expectedVersion]. */
    @Serializable
    @SerialName("set-desired")
    public data class SetDesired(
        val operationId: OperationId,
        val engine: UpstreamId,
        val expectedVersion: Long,
        val command: EngineCommand,
    ) : ControlCommand

    /** Grants a lease if its last token is still [expectedToken]. Proposed only once that lease has run out. */
    @Serializable
    @SerialName("grant-lease")
    public data class GrantLease(val scope: LeaseScope, val holder: InstanceId, val expectedToken: FencingToken) :
        ControlCommand

    /** Records what the holder of a lease is about to send to an engine. */
    @Serializable
    @SerialName("record-intent")
    public data class RecordIntent(
        val scope: LeaseScope,
        val token: FencingToken,
        val engine: UpstreamId,
        val commandId: CommandId,
        val version: Long,
    ) : ControlCommand

    /** Records how a command ended, and whether the engine is to be set aside. */
    @Serializable
    @SerialName("record-outcome")
    public data class RecordOutcome(
        val scope: LeaseScope,
        val token: FencingToken,
        val engine: UpstreamId,
        val outcome: CommandOutcome,
        val setAside: Boolean,
    ) : ControlCommand

    /** Claims an idempotency key for one attempt. */
    @Serializable
    @SerialName("claim")
    public data class ClaimKey(
        val key: IdempotencyKey,
        val attemptId: String,
        val requestFingerprint: String,
        val nowEpochMillis: Long,
    ) : ControlCommand

    /** Stores the answer of a claimed request. */
    @Serializable
    @SerialName("complete-claim")
    public data class CompleteClaim(val key: IdempotencyKey, val attemptId: String, val answer: StoredAnswer) :
        ControlCommand {
        override val approximateBytes: Long get() = SMALL_COMMAND_BYTES + answer.body.orEmpty().length
    }

    /** Gives a claim back whose request has certainly not run. */
    @Serializable
    @SerialName("release-claim")
    public data class ReleaseClaim(val key: IdempotencyKey, val attemptId: String) : ControlCommand

    /** Refuses requests with [fingerprint] from now on. */
    @Serializable
    @SerialName("quarantine")
    public data class Quarantine(val fingerprint: Fingerprint, val reason: String) : ControlCommand

    /** Lets requests with [fingerprint] run again. */
    @Serializable
    @SerialName("release-quarantine")
    public data class ReleaseQuarantine(val fingerprint: Fingerprint) : ControlCommand

    /** Puts [document] in force if its version is higher than the one held. */
    @Serializable
    @SerialName("store-routes")
    public data class StoreRoutes(val document: RouteDocument) : ControlCommand {
        override val approximateBytes: Long get() = SMALL_COMMAND_BYTES + document.compressed.size
    }

    /** Sizes. */
    public companion object {
        private const val SMALL_COMMAND_BYTES = 256L
    }
}
