package marigoldward.wire.control

import kotlinx.serialization.Serializable

/** Requests the current records of all engines. The server ignores [isCurrent]. */
@Serializable
public data class EnginesRequest(val isCurrent: Boolean = true)
