package marigoldward.core.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision

/** What a [ControlCommand] came to once it was applied. */
@Serializable
public sealed interface ControlOutcome {
    /** The configuration is in force as [revision]. */
    @Serializable
    @SerialName("applied")
    public data class ConfigurationApplied(val revision: Revision) : ControlOutcome

    /** Another change was first: the configuration is at [current], set by [winner]. */
    @Serializable
    @SerialName("revision-conflict")
    public data class RevisionConflict(val current: Revision, val winner: OperationId?) : ControlOutcome

    /** The engine's record is now at [version]. */
    @Serializable
    @SerialName("desired-set")
    public data class DesiredSet(val version: Long) : ControlOutcome

    /** Another change was first: the engine's record is at [current]. */
    @Serializable
    @SerialName("version-conflict")
    public data class VersionConflict(val current: Long) : ControlOutcome

    /** The lease is granted under [token]. */
    @Serializable
    @SerialName("lease-granted")
    public data class LeaseGranted(val token: FencingToken) : ControlOutcome

    /** The lease is [holder]'s. */
    @Serializable
    @SerialName("lease-held")
    public data class LeaseHeld(val holder: InstanceId, val token: FencingToken) : ControlOutcome

    /** The sender has lost the lease that it acted under; the scope is at [current]. */
    @Serializable
    @SerialName("stale-token")
    public data class StaleToken(val current: FencingToken) : ControlOutcome

    /** The intent stands and the command may be sent. */
    @Serializable
    @SerialName("intent-recorded")
    public data class IntentRecorded(val intent: CommandIntent) : ControlOutcome

    /** Another command to the engine may still be in flight. */
    @Serializable
    @SerialName("intent-open")
    public data class IntentOpen(val intent: CommandIntent) : ControlOutcome

    /** The command does not match the state; [detail] says how. */
    @Serializable
    @SerialName("rejected")
    public data class Rejected(val detail: String) : ControlOutcome

    /** The attempt may run its request. */
    @Serializable
    @SerialName("claimed")
    public data object Claimed : ControlOutcome

    /** Another attempt has the key and may be running or have run. */
    @Serializable
    @SerialName("claim-held")
    public data class ClaimHeld(val attemptId: String) : ControlOutcome

    /** The request ran before, with this answer. */
    @Serializable
    @SerialName("already-answered")
    public data class AlreadyAnswered(val answer: StoredAnswer) : ControlOutcome

    /** The key was used for another request. */
    @Serializable
    @SerialName("key-reused")
    public data object KeyReused : ControlOutcome

    /** No more claims can be kept; nothing was claimed. */
    @Serializable
    @SerialName("claims-full")
    public data object ClaimsFull : ControlOutcome

    /** The configuration of routes [version] is in force. */
    @Serializable
    @SerialName("routes-stored")
    public data class RoutesStored(val version: Long) : ControlOutcome

    /** Nothing changed: the offered configuration is in force or older than [current], which is. */
    @Serializable
    @SerialName("routes-superseded")
    public data class RoutesSuperseded(val current: Long) : ControlOutcome

    /** Nothing changed: the offered version is [current], which has another content. */
    @Serializable
    @SerialName("routes-version-taken")
    public data class RoutesVersionTaken(val current: Long) : ControlOutcome

    /** The command is carried out and there is nothing more to say. */
    @Serializable
    @SerialName("done")
    public data object Done : ControlOutcome
}
