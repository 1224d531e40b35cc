package marigoldward.core.control

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.model.Revision
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.RouteDocument

/**
 * The replicated state: the data that must survive restarts and the loss of a control instance.
 *
 * @property revision the revision of the configuration in force, or [Revision.NONE] before the first
 * @property revisionOperation the operation that set [revision]
 * @property bundle the configuration in force, or null before the first
 * @property leases the last grant of each lease
 * @property engines the record of each engine that was ever given a command
 * @property operations the outcomes of operators' recent changes, oldest first
 * @property claims the claims on idempotency keys, oldest first
 * @property quarantine the fingerprints of refused requests with the reasons, oldest first
 * @property quarantineVersion increases by one with each change of [quarantine] or [suspects]
 * @property routes the stored route configuration with the highest version, or null before the first
 * @property usage the usage windows that are recorded
 * @property suspects the fingerprints of requests that upstreams were answering when they crashed, oldest first
 */
@Serializable
public data class ControlState(
    val revision: Revision,
    val revisionOperation: OperationId?,
    val bundle: ConfigurationBundle?,
    val leases: StateMap<LeaseScope, LeaseRecord>,
    val engines: StateMap<UpstreamId, EngineRecord>,
    val operations: StateMap<OperationId, ControlOutcome>,
    val claims: StateMap<IdempotencyKey, IdempotencyClaim>,
    val quarantine: StateMap<Fingerprint, String>,
    val quarantineVersion: Long,
    val routes: RouteDocument? = null,
    val suspects: StateMap<Fingerprint, Suspicion> = persistentMapOf(),
    val usage: RecordedUsage = RecordedUsage(),
) {
    public companion object {
        /** The state before the first command. */
        public val EMPTY: ControlState =
            ControlState(
                revision = Revision.NONE,
                revisionOperation = null,
                bundle = null,
                leases = persistentMapOf(),
                engines = persistentMapOf(),
                operations = persistentMapOf(),
                claims = persistentMapOf(),
                quarantine = persistentMapOf(),
                quarantineVersion = 0,
            )
    }
}
