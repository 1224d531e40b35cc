package marigoldward.wire.control

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/** Requests that the new incarnation of replica [name] replaces the one whose disk was lost. */
@Serializable
public data class ReplaceReplicaRequest(val name: InstanceId)
