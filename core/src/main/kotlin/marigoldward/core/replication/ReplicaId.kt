package marigoldward.core.replication

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/**
 * The identity of a replica, valid for as long as its disk keeps its data.
 *
 * A replica that lost its disk rejoins under the same [name] with a different [incarnation]. It then doesn't count as
 * the voter that acknowledged entries or gave votes which the lost disk recorded.
 */
@Serializable
public data class ReplicaId(val name: InstanceId, val incarnation: Long) {
    /** Returns the identity as `NAME#INCARNATION`. */
    override fun toString(): String = "$name#$incarnation"
}
