package marigoldward.core.planning

import kotlin.math.exp

/**
 * An exponentially weighted moving average of the demand for prefill and decode.
 *
 * Demand is in engine-seconds per second, the number of engines that it would keep fully busy.
 */
public data class DemandAverage(val prefill: Double, val decode: Double, val timeConstantMillis: Long) {
    /** The demand for prefill and decode together. */
    val total: Double get() = prefill + decode

    /** Returns the average after an interval of [intervalMillis] with a mean demand of [prefill] and [decode]. */
    public fun observed(prefill: Double, decode: Double, intervalMillis: Long): DemandAverage {
        val weight = 1 - exp(-intervalMillis.toDouble() / timeConstantMillis)
        return copy(
            prefill = this.prefill + (prefill - this.prefill) * weight,
            decode = this.decode + (decode - this.decode) * weight,
        )
    }

    /** Creates averages. */
    public companion object {
        /** Returns an average of 0.0 that adapts to changes with the time constant [timeConstantMillis]. */
        public fun empty(timeConstantMillis: Long): DemandAverage = DemandAverage(0.0, 0.0, timeConstantMillis)
    }
}
