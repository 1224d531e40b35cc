package marigoldward.wire.control

import kotlinx.serialization.Serializable
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.model.FencingToken
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision
import marigoldward.core.replication.ReplicaId
import marigoldward.wire.distribution.SubscriberReport

/**
 * The status of one control instance, as it knows it. It may lag behind the leader.
 *
 * @property joining the replicas with an empty disk that wait to be added as members
 * @property logEntries the number of entries in the log since the last snapshot
 * @property bundle the configuration in force, or null if there is none or it was not requested
 * @property subscribers the last reports of the entries that subscribe to this instance
 */
@Serializable
public data class StatusReply(
    val replica: ReplicaId,
    val leader: ReplicaId?,
    val term: Long,
    val voters: List<ReplicaId>,
    val learners: List<ReplicaId>,
    val joining: List<ReplicaId>,
    val commitIndex: Long,
    val logEntries: Long,
    val isDiskWritable: Boolean,
    val revision: Revision,
    val bundle: ConfigurationBundle?,
    val leases: List<LeaseStatus>,
    val engines: List<EngineStatus>,
    val subscribers: List<SubscriberReport>,
    val quarantined: List<QuarantineStatus>,
) {
    /** The last grant of a lease. */
    @Serializable
    public data class LeaseStatus(val scope: String, val holder: InstanceId, val token: FencingToken)

    /** The record of an engine, as text. */
    @Serializable
    public data class EngineStatus(
        val engine: String,
        val version: Long,
        val desired: String?,
        val openCommand: String?,
        val lastOutcome: String?,
        val isSetAside: Boolean,
    )

    /** A quarantined fingerprint and the reason for the quarantine. */
    @Serializable
    public data class QuarantineStatus(val fingerprint: String, val reason: String)
}
