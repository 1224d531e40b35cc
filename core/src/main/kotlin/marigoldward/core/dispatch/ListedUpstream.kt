package marigoldward.core.dispatch

import kotlinx.serialization.Serializable
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId

/**
 * An upstream as the directory lists it.
 *
 * @property address the address as `IP:PORT`
 * @property slots the number of requests that it runs at once
 * @property isLeaving whether it accepts no new requests
 * @property isCold whether it has started recently and is still slow
 * @property isReclaimable whether it costs less and may be taken away with the others of its kind in its data centre
 * @property stage the stage of an engine; null for an instance of a plain service
 * @property startedUnixMillis when it started, in milliseconds of Unix time by its own clock, or null if the directory
 *   doesn't tell
 */
@Serializable
public data class ListedUpstream(
    val id: UpstreamId,
    val service: PoolName,
    val address: String,
    val dataCentre: DataCentre,
    val slots: Int,
    val isLeaving: Boolean,
    val isCold: Boolean,
    val stage: EngineStage?,
    val isReclaimable: Boolean = false,
    val startedUnixMillis: Long? = null,
) {
    /**
     * Whether this is another start than [earlier], which has the same id: it has another address or another time of
     * start or, if one of the times is not known, is cold though it was warm.
     */
    public fun isNewStartAfter(earlier: ListedUpstream): Boolean = when {
        address != earlier.address -> true
        startedUnixMillis != null && earlier.startedUnixMillis != null ->
            startedUnixMillis != earlier.startedUnixMillis
        else -> isCold && !earlier.isCold
    }

    /** Whether the address or a known time of start tells this start from [other], which has the same id. */
    internal fun isOtherStartThan(other: ListedUpstream): Boolean = copy(isCold = false).isNewStartAfter(other)
}
