package marigoldward.core.workspaces

/**
 * Decides whether a gateway may still accept keys of its configuration: whether the configuration in force was the newest
 * at a time that is recent enough.
 *
 * A gateway asks for the newest version again and again. A reply is valid as of the time at which the question was sent,
 * so that delays count against it. Immutable: each reply returns the next state.
 *
 * @property maxAgeMillis the age from which on a confirmation no longer counts
 */
public class ConfigurationFreshness private constructor(
    public val maxAgeMillis: Long,
    private val confirmations: List<Confirmation>,
) {
    /** [version] was the newest one at some time after [askedAt]. */
    private data class Confirmation(val version: Long, val askedAt: ClockReading)

    /** Returns the state after the reply that [version] is the newest, to a question that was sent at [askedAt]. */
    public fun withReply(version: Long, askedAt: ClockReading): ConfigurationFreshness {
        val known = confirmations.firstOrNull { it.version == version }
        if (known != null && known.askedAt.monotonicMillis >= askedAt.monotonicMillis) return this
        val others = confirmations.filter { it.version != version }
        val next = (others + Confirmation(version, askedAt)).sortedBy { it.version }.takeLast(MAX_CONFIRMATIONS)
        return ConfigurationFreshness(maxAgeMillis, next)
    }

    /** Whether [versionInForce] includes all changes that were acknowledged more than [maxAgeMillis] before [now]. */
    public fun isConfirmed(versionInForce: Long, now: ClockReading): Boolean {
        val ageMillis = ageMillisOrNull(versionInForce, now)
        return ageMillis != null && ageMillis < maxAgeMillis
    }

    /**
     * Returns the time since [versionInForce] was last known to be the newest, in milliseconds, or null if it is not known.
     */
    public fun ageMillisOrNull(versionInForce: Long, now: ClockReading): Long? = confirmations
        .filter { it.version <= versionInForce }
        .mapNotNull { now.millisSinceOrNull(it.askedAt) }
        .minOrNull()

    /** Creates states. */
    public companion object {
        /** Several versions may be confirmed before the first of them is in force. */
        private const val MAX_CONFIRMATIONS = 8

        /**
         * How much earlier than the bound a gateway stops to accept keys: the time from the check of a request until it
         * counts as sent, and the resolution of clocks.
         */
        private const val MARGIN_MILLIS = 250L

        /** Returns the state before the first reply, for keys that may be accepted for [revocationMillis]. */
        public fun unconfirmed(revocationMillis: Long): ConfigurationFreshness =
            ConfigurationFreshness(maxOf(1, revocationMillis - MARGIN_MILLIS), emptyList())
    }
}
