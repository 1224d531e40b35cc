package marigoldward.core.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision

/** The outcome of a [ControlCommand] that was applied to the control state. */
@Serializable
public sealed interface ControlOutcome {
    /** The new configuration is in force with the number [revision]. */
    @Serializable
    @SerialName("applied")
    public data class ConfigurationApplied(val revision: Revision) : ControlOutcome

    /** The configuration was not changed: its revision is already [current], set by the operation [winner]. */
    @Serializable
    @SerialName("revision-conflict")
    public data class RevisionConflict(val current: Revision, val winner: OperationId?) : ControlOutcome

    /** The desired command was set; the engine's record now has [version]. */
    @Serializable
    @SerialName("desired-set")
    public data class DesiredSet(val version: Long) : ControlOutcome

    /** The desired command was not set: the engine's record already has the version [current]. */
    @Serializable
    @SerialName("version-conflict")
    public data class VersionConflict(val current: Long) : ControlOutcome

    /** The lease was granted with [token]. */
    @Serializable
    @SerialName("lease-granted")
    public data class LeaseGranted(val token: FencingToken) : ControlOutcome

    /** Nothing changed: the lease was last granted to [holder]. */
    @Serializable
    @SerialName("lease-held")
    public data class LeaseHeld(val holder: InstanceId, val token: FencingToken) : ControlOutcome

    /** Nothing changed: the sender's token is not that of the last grant, [current]; its lease is lost. */
    @Serializable
    @SerialName("stale-token")
    public data class StaleToken(val current: FencingToken) : ControlOutcome

    /** The intent was recorded and the command may be sent. */
    @Serializable
    @SerialName("intent-recorded")
    public data class IntentRecorded(val intent: CommandIntent) : ControlOutcome

    /** Nothing changed: another command to the engine may still be in flight. */
    @Serializable
    @SerialName("intent-open")
    public data class IntentOpen(val intent: CommandIntent) : ControlOutcome

    /** Nothing changed: the command does not fit the state, as explained in [detail]. */
    @Serializable
    @SerialName("rejected")
    public data class Rejected(val detail: String) : ControlOutcome

    /** The attempt holds the claim and may run its request. */
    @Serializable
    @SerialName("claimed")
    public data object Claimed : ControlOutcome

    /** Another attempt holds the claim. Its request may be running or may have run. */
    @Serializable
    @SerialName("claim-held")
    public data class ClaimHeld(val attemptId: String) : ControlOutcome

    /** The request ran before and got [answer]. */
    @Serializable
    @SerialName("already-answered")
    public data class AlreadyAnswered(val answer: StoredAnswer) : ControlOutcome

    /** The key was already used for a request with another fingerprint. */
    @Serializable
    @SerialName("key-reused")
    public data object KeyReused : ControlOutcome

    /** Nothing was claimed: the number of stored claims has reached its limit. */
    @Serializable
    @SerialName("claims-full")
    public data object ClaimsFull : ControlOutcome

    /** The route configuration [version] was stored and is in force. */
    @Serializable
    @SerialName("routes-stored")
    public data class RoutesStored(val version: Long) : ControlOutcome

    /** Nothing changed: the offered route configuration is the one in force, [current], or older. */
    @Serializable
    @SerialName("routes-superseded")
    public data class RoutesSuperseded(val current: Long) : ControlOutcome

    /** Nothing changed: the offered route configuration has the version in force, [current], but different content. */
    @Serializable
    @SerialName("routes-version-taken")
    public data class RoutesVersionTaken(val current: Long) : ControlOutcome

    /** The command was carried out, and has no result to return. */
    @Serializable
    @SerialName("done")
    public data object Done : ControlOutcome
}
