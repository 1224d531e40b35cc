package marigoldward.core.dispatch

/**
 * What one engine said of itself.
 *
 * @property running requests that it runs
 * @property waiting requests that wait for it
 * @property usedPart the part of its memory for KV cache that can't be freed, from 0 to 1
 * @property isBusy whether an order is being carried out
 * @property sequence the number of orders that it has accepted since it started
 */
public data class EngineGauge(
    val engine: ListedUpstream,
    val stage: EngineStage,
    val running: Int,
    val waiting: Int,
    val usedPart: Double,
    val isBusy: Boolean,
    val sequence: Long,
)
