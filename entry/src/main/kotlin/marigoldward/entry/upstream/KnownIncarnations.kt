package marigoldward.entry.upstream

import marigoldward.core.model.UpstreamId
import java.util.concurrent.ConcurrentHashMap

/** The incarnation that each upstream last reported, by which a restart is told from a broken connection. */
internal class KnownIncarnations {
    private val incarnations = ConcurrentHashMap<UpstreamId, String>()

    fun record(upstream: UpstreamId, incarnation: String) {
        incarnations[upstream] = incarnation
    }

    fun lastKnownOrNull(upstream: UpstreamId): String? = incarnations[upstream]
}
