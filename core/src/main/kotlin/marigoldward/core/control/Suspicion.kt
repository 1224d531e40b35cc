package marigoldward.core.control

import kotlinx.serialization.Serializable
import marigoldward.core.model.UpstreamId

/**
 * The crashes under one fingerprint, one after the other, since a request with it was last answered completely.
 *
 * @property crashes the crashes in the order in which they were reported, at least one
 */
@Serializable
public data class Suspicion(val crashes: List<Crash>) {
    /**
     * The crash of [upstream].
     *
     * @property fingerprints all fingerprints of the requests that were lost in the crash and had the suspected one
     */
    @Serializable
    public data class Crash(val upstream: UpstreamId, val fingerprints: List<Fingerprint>)

    /** The fingerprints that may have caused every one of the crashes, the suspected one among them. */
    public val common: Set<Fingerprint>
        get() = crashes.map { it.fingerprints.toSet() }.reduce { common, fingerprints -> common intersect fingerprints }

    /** Limits of suspicions. */
    public companion object {
        /** The number of crashes from which on a fingerprint may be quarantined. */
        public const val QUARANTINE_CRASHES: Int = 3
    }
}
