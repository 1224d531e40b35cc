package marigoldward.core.capacity

import marigoldward.core.model.DataCentre

/**
 * How many engines of a service may be ordered, and at what price.
 *
 * @property minEngines the smallest number of engines in a data centre, of both kinds together
 * @property maxEngines the largest number of engines in a data centre, of both kinds together
 * @property bootMillis the time from an order until a new engine serves
 * @property reclaimablePrice the price of an engine that may be reclaimed, as a fraction of that of another, or null if
 *   there are none
 * @property prices the price of an engine in each data centre; 1 where it is not given
 */
public data class EngineScaling(
    val minEngines: Int,
    val maxEngines: Int,
    val bootMillis: Long,
    val reclaimablePrice: Double?,
    val prices: Map<DataCentre, Double>,
) {
    /** Whether there are engines that may be reclaimed and cost less than others. */
    val hasReclaimable: Boolean get() = reclaimablePrice != null && reclaimablePrice < 1
}
