package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument

/**
 * What a control instance tells an entry.
 *
 * @property routes the configuration in force, or null if the entry has it already or there is none
 * @property directory the list of upstreams, or null if it is as it was told before
 * @property directoryAgeMillis how long ago the list was read, in milliseconds, or null if it never was
 * @property staleMillis for how long at most the sender may have missed what others committed, in milliseconds
 * @property entries how many entries watch the control instances
 * @property members the control instances that are members
 * @property dataCentre where the sender runs
 */
@Serializable
public data class FeedUpdate(
    val routes: RouteDocument?,
    val directory: DirectorySnapshot?,
    val directoryAgeMillis: Long?,
    val staleMillis: Long,
    val entries: Int,
    val members: List<InstanceId>,
    val dataCentre: DataCentre,
)
