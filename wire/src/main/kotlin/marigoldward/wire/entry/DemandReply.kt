package marigoldward.wire.entry

import kotlinx.serialization.Serializable
import marigoldward.core.model.InstanceId

/**
 * The work that the callers of an entry have requested since the process started.
 *
 * @property run identifies the run of the process; the counts start at 0 in each run
 */
@Serializable
public data class DemandReply(val entry: InstanceId, val run: Long, val pools: List<PoolDemand>) {
    /**
     * The work that the priority class of [rank] requested of one pool.
     *
     * @property prefillTokens the prompt tokens that are not in cached prefixes
     * @property decodeTokens the requested output tokens
     */
    @Serializable
    public data class PoolDemand(val pool: String, val rank: Int, val prefillTokens: Long, val decodeTokens: Long)
}
