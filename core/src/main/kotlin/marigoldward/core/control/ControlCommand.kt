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
    /** The approximate size of the encoded command, in bytes. */
    public val approximateBytes: Long get() = BASE_SIZE_BYTES

    /** Replaces the configuration if its revision is still [expectedRevision]. */
    @Serializable
    @SerialName("apply-configuration")
    public data class ApplyConfiguration(
        val operationId: OperationId,
        val expectedRevision: Revision,
        val bundle: ConfigurationBundle,
    ) : ControlCommand {
        override val approximateBytes: Long
            get() = BASE_SIZE_BYTES + bundle.base.text.length + bundle.overlays.sumOf { it.text.length }
    }

    /** Sets the command that an engine should carry out, if the version of its record is still [expectedVersion]. */
    @Serializable
    @SerialName("set-desired")
    public data class SetDesired(
        val operationId: OperationId,
        val engine: UpstreamId,
        val expectedVersion: Long,
        val command: EngineCommand,
    ) : ControlCommand

    /** Grants a lease if its last token is still [expectedToken]. Proposed only after the last lease has expired. */
    @Serializable
    @SerialName("grant-lease")
    public data class GrantLease(val scope: LeaseScope, val holder: InstanceId, val expectedToken: FencingToken) :
        ControlCommand

    /** Records the command that the holder of a lease is about to send to an engine. */
    @Serializable
    @SerialName("record-intent")
    public data class RecordIntent(
        val scope: LeaseScope,
        val token: FencingToken,
        val engine: UpstreamId,
        val commandId: CommandId,
        val version: Long,
    ) : ControlCommand

    /** Records the outcome of a command, and whether the engine is set aside and so gets no work. */
    @Serializable
    @SerialName("record-outcome")
    public data class RecordOutcome(
        val scope: LeaseScope,
        val token: FencingToken,
        val engine: UpstreamId,
        val outcome: CommandOutcome,
        @SerialName("setAside") val isSetAside: Boolean,
    ) : ControlCommand

    /** Claims an idempotency key for one attempt to run the request. */
    @Serializable
    @SerialName("claim")
    public data class ClaimKey(
        val key: IdempotencyKey,
        val attemptId: String,
        val requestFingerprint: String,
        val nowEpochMillis: Long,
    ) : ControlCommand

    /** Stores the response to a claimed request. */
    @Serializable
    @SerialName("complete-claim")
    public data class CompleteClaim(val key: IdempotencyKey, val attemptId: String, val answer: StoredAnswer) :
        ControlCommand {
        override val approximateBytes: Long get() = BASE_SIZE_BYTES + answer.body.orEmpty().length
    }

    /** Releases the claim on a key whose request has certainly not run. */
    @Serializable
    @SerialName("release-claim")
    public data class ReleaseClaim(val key: IdempotencyKey, val attemptId: String) : ControlCommand

    /** Quarantines [fingerprint]: requests with it are refused. */
    @Serializable
    @SerialName("quarantine")
    public data class Quarantine(val fingerprint: Fingerprint, val reason: String) : ControlCommand

    /** Ends the quarantine of [fingerprint]: requests with it may run again. */
    @Serializable
    @SerialName("release-quarantine")
    public data class ReleaseQuarantine(val fingerprint: Fingerprint) : ControlCommand

    /** Stores the route configuration [document] if its version is higher than that of the stored one. */
    @Serializable
    @SerialName("store-routes")
    public data class StoreRoutes(val document: RouteDocument) : ControlCommand {
        override val approximateBytes: Long get() = BASE_SIZE_BYTES + document.compressed.size
    }

    /**
     * Reports that [upstream] crashed while it was answering [requests].
     *
     * @property startedUnixMillis when the upstream had started, in milliseconds of Unix time, or null if not known
     */
    @Serializable
    @SerialName("report-crash")
    public data class ReportCrash(
        val upstream: UpstreamId,
        val requests: List<LostRequest>,
        val startedUnixMillis: Long? = null,
    ) : ControlCommand {
        override val approximateBytes: Long
            get() = BASE_SIZE_BYTES + requests.sumOf { it.suspects.size } * SUSPECT_SIZE_BYTES
    }

    /**
     * Clears [fingerprints] of suspicion and ends their quarantine: a request with each of them was answered completely,
     * by an upstream that began to answer after the last crash under it was known.
     */
    @Serializable
    @SerialName("clear-suspects")
    public data class ClearSuspects(val fingerprints: List<Fingerprint>) : ControlCommand {
        override val approximateBytes: Long get() = BASE_SIZE_BYTES + fingerprints.size * SUSPECT_SIZE_BYTES
    }

    /** Ends the quarantine of [fingerprint] for a trial: one more crash under it starts the quarantine anew. */
    @Serializable
    @SerialName("retry-quarantined")
    public data class RetryQuarantined(val fingerprint: Fingerprint) : ControlCommand

    /** Makes the counts of the usage window [window] final, unless it or a later one is recorded already. */
    @Serializable
    @SerialName("record-usage")
    public data class RecordUsage(val window: Long, val counts: Map<String, Long>) : ControlCommand {
        override val approximateBytes: Long
            get() = BASE_SIZE_BYTES + counts.keys.sumOf { it.length + COUNT_SIZE_BYTES }
    }

    /** Records that the report of the usage window [window] was accepted, or is not sent any more. */
    @Serializable
    @SerialName("mark-usage-reported")
    public data class MarkUsageReported(val window: Long) : ControlCommand

    public companion object {
        private const val COUNT_SIZE_BYTES = 16L
        private const val SUSPECT_SIZE_BYTES = 32L

        /** The allowance for every field but the long texts and documents. */
        private const val BASE_SIZE_BYTES = 256L
    }
}
