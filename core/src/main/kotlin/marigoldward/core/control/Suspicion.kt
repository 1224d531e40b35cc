package marigoldward.core.control

import kotlinx.serialization.Serializable
import marigoldward.core.model.UpstreamId

/**
 * The crashes under one fingerprint, one after the other, since a request with it was last answered completely.
 *
 * @property crashes the crashes in the order in which they were reported, at least one
 * @property trials how often a quarantine has ended so that the next request could show whether it is justified
 */
@Serializable
public data class Suspicion(val crashes: List<Crash>, val trials: Int = 0) {
    /**
     * The crash of [upstream].
     *
     * @property fingerprints all fingerprints of the requests that were lost in the crash and had the suspected one
     * @property boot tells apart the crashes of an upstream that starts again under its id: a later one has a larger
     *   number
     * @property startedUnixMillis when the upstream had started, in milliseconds of Unix time, or null if not known
     */
    @Serializable
    public data class Crash(
        val upstream: UpstreamId,
        val fingerprints: List<Fingerprint>,
        val boot: Int = 0,
        val startedUnixMillis: Long? = null,
    ) {
        /** Identifies the crash, which other suspicions may include too. */
        internal val key: Pair<UpstreamId, Int> get() = upstream to boot

        /** Whether the upstream had certainly started at another time than [otherUnixMillis] when it crashed. */
        internal fun isOfOtherStart(otherUnixMillis: Long?): Boolean =
            startedUnixMillis != null && otherUnixMillis != null && startedUnixMillis != otherUnixMillis
    }

    /** The fingerprints that may have caused every one of the crashes, the suspected one among them. */
    public val common: Set<Fingerprint>
        get() = crashes.map { it.fingerprints.toSet() }.reduce { common, fingerprints -> common intersect fingerprints }

    /** How long the quarantine lasts, in milliseconds; twice as long after each trial. */
    public val quarantineMillis: Long get() = FIRST_QUARANTINE_MILLIS shl minOf(trials, MAX_DOUBLINGS)

    /** Limits of suspicions. */
    public companion object {
        private const val FIRST_QUARANTINE_MILLIS = 600_000L
        private const val MAX_DOUBLINGS = 7

        /** The number of crashes from which on a fingerprint may be quarantined. */
        public const val QUARANTINE_CRASHES: Int = 3
    }
}
