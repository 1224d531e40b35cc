package marigoldward.core.planning

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The state of the role planner for one pool.
 *
 * @property demand the demand by the rank of the class
 * @property lastChangeMillis when the last role change was decided, in milliseconds, or null before the first
 */
public data class PlannerState(val demand: PersistentMap<Int, ClassDemand>, val lastChangeMillis: Long?) {
    /** The sum of the fast averages of all classes. */
    val totalDemand: DemandAverage
        get() = demand.values.fold(ClassDemand.NONE.fast) { sum, average ->
            sum.copy(prefill = sum.prefill + average.fast.prefill, decode = sum.decode + average.fast.decode)
        }

    /** Holds the initial state. */
    public companion object {
        /** The state of a pool before its first demand sample. */
        public val EMPTY: PlannerState = PlannerState(persistentMapOf(), null)
    }
}
