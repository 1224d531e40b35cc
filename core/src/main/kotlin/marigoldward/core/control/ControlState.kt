package marigoldward.core.control

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.model.Revision
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.RouteDocument

/**
 * The replicated state: what must survive.
 *
 * @property revision the number of the configuration in force, or [Revision.NONE] before the first
 * @property revisionOperation the operation that set [revision]
 * @property operations the outcomes of operators' changes, oldest first
 * @property claims the idempotency keys in use, oldest first
 * @property quarantine the refused fingerprints and why, oldest first
 * @property quarantineVersion grows with each change of [quarantine]
 * @property routes the configuration of routes with the highest version, or null before the first
 */
@Serializable
public data class ControlState(
    val revision: Revision,
    val revisionOperation: OperationId?,
    val bundle: ConfigurationBundle?,
    val leases: StateMap<LeaseScope, LeaseRecord>,
    val engines: StateMap<UpstreamId, EngineRecord>,
    val operations: StateMap<OperationId, ControlOutcome>,
    val claims: StateMap<IdempotencyKey, Claim>,
    val quarantine: StateMap<Fingerprint, String>,
    val quarantineVersion: Long,
    val routes: RouteDocument? = null,
) {
    /** Creates states. */
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
