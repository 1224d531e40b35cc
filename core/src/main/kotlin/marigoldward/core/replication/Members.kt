package marigoldward.core.replication

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/**
 * The replicas of a cluster.
 *
 * @property voters the replicas that elect leaders and whose acknowledgements commit entries
 * @property learners the replicas that only receive the log
 */
@Serializable
public data class Members(val voters: Set<ReplicaId>, val learners: Set<ReplicaId> = emptySet()) {
    /** All voters and learners. */
    val all: Set<ReplicaId> get() = voters + learners

    /** The number of voters that form a quorum. */
    val quorumSize: Int get() = voters.size / 2 + 1

    /** Whether the cluster tolerates as many failures with one voter less, as their number is even. */
    val toleratesRemoval: Boolean get() = voters.size > 2 && voters.size % 2 == 0

    /** Returns whether [ids] contains a quorum of the voters. */
    public fun isQuorum(ids: Set<ReplicaId>): Boolean = voters.count { it in ids } >= quorumSize

    /** Returns the voter on the instance [name] in any incarnation, or null if there is none. */
    public fun voterOrNull(name: InstanceId): ReplicaId? = voters.firstOrNull { it.name == name }

    /** Returns the learner on the instance [name] in any incarnation, or null if there is none. */
    public fun learnerOrNull(name: InstanceId): ReplicaId? = learners.firstOrNull { it.name == name }
}
