package marigoldward.core.control

import kotlinx.serialization.Serializable

/**
 * The replicated state of one engine.
 *
 * @property version the number of desired commands that were set; 0 before the first
 * @property desired the last desired command, or null if none is outstanding
 * @property openIntent the only command that may be in flight, or null if none is
 * @property lastOutcome the outcome of the last finished command, or null before the first
 * @property isSetAside whether the engine is excluded from requests because its state is unknown
 */
@Serializable
public data class EngineRecord(
    val version: Long = 0,
    val desired: EngineCommand? = null,
    val openIntent: CommandIntent? = null,
    val lastOutcome: CommandOutcome? = null,
    val isSetAside: Boolean = false,
)
