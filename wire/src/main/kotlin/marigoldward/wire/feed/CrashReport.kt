package marigoldward.wire.feed

import kotlinx.serialization.Serializable
import marigoldward.core.control.Fingerprint
import marigoldward.core.control.LostRequest
import marigoldward.core.model.UpstreamId

/**
 * What an entry has observed of requests that may crash upstreams. Repeating a report has no further effect.
 *
 * @property crashes the upstreams that crashed while they were answering requests of the entry
 * @property answered suspected fingerprints of requests that were answered completely
 */
@Serializable
public data class CrashReport(val crashes: List<UpstreamCrash>, val answered: List<Fingerprint>) {
    /**
     * The crash of [upstream] while it was answering [requests].
     *
     * @property startedUnixMillis when the upstream had started, in milliseconds of Unix time, as the directory told the
     *   entry when it sent the requests, or null if it didn't
     */
    @Serializable
    public data class UpstreamCrash(
        val upstream: UpstreamId,
        val requests: List<LostRequest>,
        val startedUnixMillis: Long? = null,
    )
}
