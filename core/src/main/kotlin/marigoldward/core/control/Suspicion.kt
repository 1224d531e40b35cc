package marigoldward.core.control

import kotlinx.serialization.Serializable
import marigoldward.core.model.UpstreamId

/**
 * The crashes under one fingerprint since a request with it was last answered completely.
 *
 * @property crashedUpstreams the upstreams that crashed, in the order in which the crashes were reported
 */
@Serializable
public data class Suspicion(val crashedUpstreams: List<UpstreamId>) {
    /** Limits of suspicions. */
    public companion object {
        /** A fingerprint with this many crashes is quarantined. */
        public const val QUARANTINE_CRASHES: Int = 3
    }
}
