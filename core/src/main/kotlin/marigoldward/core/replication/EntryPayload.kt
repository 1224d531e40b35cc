package marigoldward.core.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.control.ControlCommand

/** The content of a log entry. */
@Serializable
public sealed interface EntryPayload {
    /** An empty entry, appended by each new leader so that it can commit the entries of earlier terms. */
    @Serializable
    @SerialName("noop")
    public data object Noop : EntryPayload

    /** A new set of members. It takes effect on a replica when appended to its log, before it is committed. */
    @Serializable
    @SerialName("members")
    public data class MembersChange(val members: Members) : EntryPayload

    /** A command to be applied to the replicated control state. */
    @Serializable
    @SerialName("command")
    public data class Command(val command: ControlCommand) : EntryPayload
}
