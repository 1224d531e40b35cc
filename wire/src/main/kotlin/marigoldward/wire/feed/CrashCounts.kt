package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.control.Fingerprint

/**
 * The number of crashes under each suspected or quarantined fingerprint.
 *
 * @property version the version of the replicated state that the counts are from; only grows
 */
@Serializable
public data class CrashCounts(val version: Long, val counts: List<Entry>) {
    /**
     * [crashes] upstreams crashed one after the other while answering requests with [fingerprint].
     *
     * @property quarantined which requests are refused because of it, or null if none are
     */
    @Serializable
    public data class Entry(val fingerprint: Fingerprint, val crashes: Int, val quarantined: Quarantined? = null)

    /** Requests that have all of [fingerprints] are refused. */
    @Serializable
    public data class Quarantined(val fingerprints: List<Fingerprint>)
}
