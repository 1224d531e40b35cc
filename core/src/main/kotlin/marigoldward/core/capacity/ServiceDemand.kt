package marigoldward.core.capacity

import kotlinx.serialization.Serializable
import marigoldward.core.model.PoolName

/**
 * The demand of one entry's callers for the engines of one service, as totals since the start of the process.
 *
 * @property requests the requests that callers sent for the service
 * @property promptTokens the prompt tokens of these requests that were expected not to be in any cache
 * @property outputTokens the tokens that were generated for them
 * @property refused the requests that were refused because no engine could serve them in time
 * @property waiting the requests that are in progress in the entry now, those that wait for an engine included
 */
@Serializable
public data class ServiceDemand(
    val service: PoolName,
    val requests: Long,
    val promptTokens: Long,
    val outputTokens: Long,
    val refused: Long,
    val waiting: Int,
)
