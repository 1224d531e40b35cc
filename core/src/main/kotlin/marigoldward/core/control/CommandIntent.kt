package marigoldward.core.control

import kotlinx.serialization.Serializable
import marigoldward.core.model.FencingToken

/**
 * A command to an engine that is recorded before it is sent.
 *
 * @property version the [EngineRecord.version] whose desired command this is
 * @property token the fencing token of the lease under which the command is sent
 */
@Serializable
public data class CommandIntent(
    val commandId: CommandId,
    val command: EngineCommand,
    val version: Long,
    val token: FencingToken,
)
