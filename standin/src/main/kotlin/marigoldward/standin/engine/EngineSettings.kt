package marigoldward.standin.engine

import marigoldward.core.model.DataCentre
import marigoldward.core.model.EngineRole
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import java.net.InetSocketAddress

/**
 * The settings of an emulated engine.
 *
 * @property checksFencingToken whether the engine rejects a command whose token is below the highest one seen
 * @property slots the number of requests that may run at a time
 * @property decodeTokensPerSecond the decode throughput of all running requests together
 * @property kvCapacityTokens the size of the prefix cache, in tokens
 * @property roleChangeMillis the duration of a change of role, model or adapters, in milliseconds
 * @property reportLagMillis the interval between updates of the load report, in milliseconds
 * @property restartMillis the time from a crash to the restart, in milliseconds
 */
public data class EngineSettings(
    val id: UpstreamId,
    val pool: PoolName,
    val dataCentre: DataCentre,
    val listen: InetSocketAddress,
    val role: EngineRole,
    val checksFencingToken: Boolean,
    val slots: Int,
    val prefillTokensPerSecond: Long,
    val decodeTokensPerSecond: Long,
    val kvCapacityTokens: Long,
    val roleChangeMillis: Long,
    val reportLagMillis: Long,
    val restartMillis: Long,
)
