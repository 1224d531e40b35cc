package marigoldward.core.planning

import marigoldward.core.model.EngineRole
import marigoldward.core.model.UpstreamId

/**
 * An engine as input of the planner.
 *
 * @property isStable whether it works in its role and no command to it is pending
 * @property streams the number of requests that it runs; the least busy engine is chosen for a change
 */
public data class PlannedEngine(val id: UpstreamId, val role: EngineRole, val isStable: Boolean, val streams: Int)
