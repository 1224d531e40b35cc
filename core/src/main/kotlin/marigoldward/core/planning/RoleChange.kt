package marigoldward.core.planning

import marigoldward.core.model.EngineRole
import marigoldward.core.model.UpstreamId

/**
 * A change of one engine to another role.
 *
 * @property role the new role
 * @property gainEngineSeconds the expected benefit: the additional work that the pool can serve, with the work of lower
 *     classes weighted less
 */
public data class RoleChange(val engine: UpstreamId, val role: EngineRole, val gainEngineSeconds: Double)
