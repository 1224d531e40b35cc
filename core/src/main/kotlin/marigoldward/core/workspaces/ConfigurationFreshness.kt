package marigoldward.core.workspaces

import marigoldward.core.time.ClockReading

/**
 * Decides whether a gateway may still accept keys of its configuration: whether the configuration in force was the newest
 * at a time that is recent enough.
 *
 * A gateway asks for the newest version again and again. A reply is valid as of the time at which the question was sent,
 * so that delays count against it. All questions from before a time at which the clocks disagreed are void for good, even
 * if the clocks agree again later because the time of day was set back. Immutable: each event returns the next state.
 *
 * Limit: a suspension of the machine and a change of its time of day that cancel each other before the next call of [at]
 * are not noticed, as neither clock shows them.
 *
 * @property maxAgeMillis the age from which on a confirmation no longer counts
 * @property askPeriodMillis the longest time between two questions with which a gateway that is cut off for less than
 *   [TOLERATED_SHARE] of the bound goes on accepting keys
 */
public class ConfigurationFreshness private constructor(
    public val maxAgeMillis: Long,
    public val askPeriodMillis: Long,
    private val confirmations: List<Confirmation> = emptyList(),
    private val lastReading: ClockReading? = null,
    private val voidUntilMillis: Long = Long.MIN_VALUE,
) {
    /** [version] was the newest one at some time after [askedAt]. */
    private data class Confirmation(val version: Long, val askedAt: ClockReading)

    /** Returns the state at [now]. To be called at short intervals, and before each decision. */
    public fun at(now: ClockReading): ConfigurationFreshness {
        if (now == lastReading) return this
        val isConsistent = lastReading == null || now.millisSinceOrNull(lastReading) != null
        val voidUntil = if (isConsistent) voidUntilMillis else now.monotonicMillis
        val kept = confirmations.filter { isValid(it.askedAt, now, voidUntil) }
        return ConfigurationFreshness(maxAgeMillis, askPeriodMillis, kept, now, voidUntil)
    }

    /** Returns the state after the reply at [now] that [version] is the newest, to a question sent at [askedAt]. */
    public fun withReply(version: Long, askedAt: ClockReading, now: ClockReading): ConfigurationFreshness {
        val current = at(now)
        val known = current.confirmations.firstOrNull { it.version == version }
        val isOlder = known != null && known.askedAt.monotonicMillis >= askedAt.monotonicMillis
        if (isOlder || !isValid(askedAt, now, current.voidUntilMillis)) return current
        val others = current.confirmations.filter { it.version != version }
        val next = (others + Confirmation(version, askedAt)).sortedBy { it.version }.takeLast(MAX_CONFIRMATIONS)
        return ConfigurationFreshness(maxAgeMillis, askPeriodMillis, next, now, current.voidUntilMillis)
    }

    /** Whether [versionInForce] includes all changes that were acknowledged more than [maxAgeMillis] before [now]. */
    public fun isConfirmed(versionInForce: Long, now: ClockReading): Boolean {
        val ageMillis = ageMillisOrNull(versionInForce, now)
        return ageMillis != null && ageMillis < maxAgeMillis
    }

    /**
     * Returns the time since [versionInForce] was last known to be the newest, in milliseconds, or null if it is not known.
     */
    public fun ageMillisOrNull(versionInForce: Long, now: ClockReading): Long? = at(now).confirmations
        .filter { it.version <= versionInForce }
        .mapNotNull { now.millisSinceOrNull(it.askedAt) }
        .minOrNull()

    /** Creates states. */
    public companion object {
        /** The share of the bound for which a gateway without a path to control goes on accepting keys. */
        public const val TOLERATED_SHARE: Double = 0.6

        /** Several versions may be confirmed before the first of them is in force. */
        private const val MAX_CONFIRMATIONS = 8

        /**
         * How much earlier than the bound a gateway stops to accept keys: more than the difference between the clocks that
         * goes unnoticed, but at most a tenth of the bound, so that a short bound leaves time to accept keys at all.
         */
        private const val MARGIN_MILLIS = 250L
        private const val MARGIN_DIVISOR = 10

        /** How long a gateway waits for the reply to a question that is lost, and until the next one. */
        private const val LOST_QUESTION_MILLIS = 700L
        private val ASK_PERIOD_MILLIS = 100L..1_000L

        /** Returns the state before the first reply, for keys that may be accepted for [revocationMillis]. */
        public fun unconfirmed(revocationMillis: Long): ConfigurationFreshness {
            val maxAgeMillis = revocationMillis - minOf(MARGIN_MILLIS, revocationMillis / MARGIN_DIVISOR)
            // What remains is for a question that is lost at the end of the cut, and for waiting for the questions before
            // the cut and after it and for their replies.
            val spareMillis = maxAgeMillis - (revocationMillis * TOLERATED_SHARE).toLong() - LOST_QUESTION_MILLIS
            return ConfigurationFreshness(maxAgeMillis, (spareMillis / 2).coerceIn(ASK_PERIOD_MILLIS))
        }

        /** Whether the time since [askedAt] is known at [now]. A freeze may begin and end in one millisecond. */
        private fun isValid(askedAt: ClockReading, now: ClockReading, voidUntilMillis: Long): Boolean =
            askedAt.monotonicMillis > voidUntilMillis && now.millisSinceOrNull(askedAt) != null
    }
}
