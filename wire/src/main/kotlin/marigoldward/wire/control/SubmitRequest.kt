package marigoldward.wire.control

import kotlinx.serialization.Serializable
import marigoldward.core.control.ControlCommand

/** Requests that [command] is committed and applied. */
@Serializable
public data class SubmitRequest(val command: ControlCommand)
