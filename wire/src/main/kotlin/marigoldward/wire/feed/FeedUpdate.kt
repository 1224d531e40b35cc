package marigoldward.wire.feed

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.RouteDocument

/**
 * An update from a control instance to an entry.
 *
 * @property routes the route configuration in force, or null if there is none or the entry has it already
 * @property directory the list of upstreams, or null if there is none or it has not changed since the last update on the
 *   same stream that had one
 * @property directoryAgeMillis the time from the reading of the list until the update was made, in milliseconds, or null
 *   if it was never read
 * @property maxStalenessMillis the longest time for which the sender may have missed committed changes, in milliseconds
 * @property entryCount the number of entries that watch the control instances, or fewer while the sender's state is not
 *   fresh or entries move to another instance
 * @property members the control instances that are members of the cluster
 * @property dataCentre the data centre of the sender
 * @property crashCounts the crashes under suspected requests, or null if they have not changed since the last update
 * @property sentAt when the update was made, or null if it is from an instance that doesn't tell
 */
@Serializable
public data class FeedUpdate(
    val routes: RouteDocument?,
    val directory: DirectorySnapshot?,
    val directoryAgeMillis: Long?,
    @SerialName("staleMillis") val maxStalenessMillis: Long,
    @SerialName("entries") val entryCount: Int,
    val members: List<InstanceId>,
    val dataCentre: DataCentre,
    val crashCounts: CrashCounts? = null,
    val sentAt: SendingTime? = null,
)
