package marigoldward.bench.policy

import marigoldward.core.serving.RequestSpec

/** A request of a simulation and its progress; times are milliseconds of the virtual clock. */
internal class SimulatedRequest(val spec: RequestSpec, val arrivedMillis: Double) {
    var firstTokenMillis: Double? = null
    var endMillis: Double? = null
    var slowestGapMillis = 0.0
    var isRefused = false

    /** Whether the answer is complete and within the latency targets of its class. */
    val isGood: Boolean
        get() {
            val first = firstTokenMillis ?: return false
            if (endMillis == null) return false
            val priority = spec.priority
            return first - arrivedMillis <= priority.firstTokenTargetMillis &&
                slowestGapMillis <= priority.betweenTokensTargetMillis
        }
}
