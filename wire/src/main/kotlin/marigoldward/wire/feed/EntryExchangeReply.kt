package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/**
 * The leader's reply to an [EntryExchangeRequest].
 *
 * @property isConfirmed whether a majority has confirmed the leader after the request was received; the other properties
 *   mean nothing otherwise
 * @property routesVersion the version of the route configuration in force at that time, or 0 if there is none
 * @property leader the instance that leads, as far as the replying instance knows, or null
 * @property leaderTerm the term of the leader; an entry reports all its windows again to the leader of a new term
 * @property recordedWindow the last usage window whose counts are recorded, or null if none is; later reports of it and of
 *   earlier windows have no effect
 * @property epochMillis the leader's estimate of the true time when it replied, in milliseconds since 1970, or null if it
 *   has none
 */
@Serializable
public data class EntryExchangeReply(
    val isConfirmed: Boolean,
    val routesVersion: Long = 0,
    val leader: InstanceId? = null,
    val leaderTerm: Long = 0,
    val recordedWindow: Long? = null,
    val epochMillis: Long? = null,
)
