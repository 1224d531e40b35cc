package marigoldward.core.usage

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Estimates the true time as the median of the times of day of many processes, so that the clocks of fewer than half of
 * them may be wrong by any amount.
 *
 * The error that is left is the time for which half of the messages were under way, some milliseconds, and the error that
 * the clocks of most machines have in common. Immutable.
 */
public class TrueTimeEstimator private constructor(private val clocks: PersistentMap<Long, Sample>) {
    private data class Sample(val differenceMillis: Long, val receivedMillis: Long)

    /** Returns the estimator after the process [id] has told its time of day in a message. */
    public fun withSample(id: Long, epochMillis: Long, receivedMillis: Long): TrueTimeEstimator {
        val added = clocks.put(id, Sample(epochMillis - receivedMillis, receivedMillis))
        val expired = added.filterValues { receivedMillis - it.receivedMillis > MAX_AGE_MILLIS }.keys
        return TrueTimeEstimator(expired.fold(added) { kept, key -> kept.remove(key) })
    }

    /** Returns the true time at [nowMillis] of monotonic time, in milliseconds since 1970, or null without samples. */
    public fun epochMillisOrNull(nowMillis: Long): Long? {
        val differences = clocks.values.map { it.differenceMillis }.sorted()
        if (differences.isEmpty()) return null
        return nowMillis + differences[differences.size / 2]
    }

    /** Creates estimators. */
    public companion object {
        /** Several times the interval between the messages of a process. */
        private const val MAX_AGE_MILLIS = 10_000L

        /** An estimator without samples. */
        public val EMPTY: TrueTimeEstimator = TrueTimeEstimator(persistentMapOf())
    }
}
