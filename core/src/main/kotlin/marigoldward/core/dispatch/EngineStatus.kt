package marigoldward.core.dispatch

/**
 * The status that an engine reports.
 *
 * @property running the number of requests that it runs
 * @property waiting the number of requests that wait for it
 * @property kvUsedFraction the fraction of its KV cache memory that can't be freed, from 0 to 1
 * @property isExecutingOrder whether it is carrying out an order
 * @property orderSequence the number of orders that it has accepted since it started
 * @property startedUnixMillis when it started, in milliseconds of Unix time by its own clock, or null if it doesn't tell
 */
public data class EngineStatus(
    val engine: ListedUpstream,
    val stage: EngineStage,
    val running: Int,
    val waiting: Int,
    val kvUsedFraction: Double,
    val isExecutingOrder: Boolean,
    val orderSequence: Long,
    val startedUnixMillis: Long? = null,
)
