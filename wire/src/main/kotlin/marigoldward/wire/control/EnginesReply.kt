package marigoldward.wire.control

import kotlinx.serialization.Serializable
import marigoldward.core.control.EngineRecord
import marigoldward.core.control.StateMap
import marigoldward.core.model.InstanceId
import marigoldward.core.model.UpstreamId

/** The records of all [engines], or null if this instance does not lead; then [leader] is the leader if it is known. */
@Serializable
public data class EnginesReply(val engines: StateMap<UpstreamId, EngineRecord>?, val leader: InstanceId?)
