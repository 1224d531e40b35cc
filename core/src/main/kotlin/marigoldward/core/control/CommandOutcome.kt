package marigoldward.core.control

import kotlinx.serialization.Serializable

/** The final result of a command to an engine. [detail] explains it, or is empty. */
@Serializable
public data class CommandOutcome(val commandId: CommandId, val result: CommandResult, val detail: String)
