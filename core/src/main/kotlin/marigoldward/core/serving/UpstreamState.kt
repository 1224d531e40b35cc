package marigoldward.core.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.model.EngineRole
import marigoldward.core.model.RequestId

/**
 * What this process knows of one upstream.
 *
 * @property report its latest load report, or null before the first
 * @property reportMillis when [report] arrived, in milliseconds of monotonic time
 * @property ownLoad the load of this process's attempts there
 * @property ownLoadAtReport the value of [ownLoad] when [report] arrived
 * @property inFlightCountAtReport the size of [inFlight] when [report] arrived
 * @property inFlight the attempts of this process that this upstream answers
 * @property cachedPieceHashes the hashes of the prompt pieces that it probably caches, least recently stored first
 */
public data class UpstreamState(
    val info: UpstreamInfo,
    val report: LoadReport?,
    val reportMillis: Long,
    val ownLoad: UpstreamLoad,
    val ownLoadAtReport: UpstreamLoad,
    val inFlightCountAtReport: Int,
    val health: UpstreamHealth,
    val inFlight: PersistentMap<RequestId, InFlightAttempt>,
    val cachedPieceHashes: PersistentMap<Long, Unit>,
) {
    /** The reported role, or [EngineRole.MIXED] before the first report. */
    val role: EngineRole get() = report?.role ?: EngineRole.MIXED

    /** The load of other processes by the last report, plus the current load of this process. */
    val estimatedLoad: UpstreamLoad
        get() {
            val reported = report ?: return ownLoad
            val total = UpstreamLoad(reported.streams, reported.prefillTokens, reported.kvTokens)
            return (total - ownLoadAtReport).withoutNegatives() + ownLoad
        }

    /** Creates initial states. */
    public companion object {
        /** Returns the state of a newly listed upstream. */
        public fun fromInfo(info: UpstreamInfo): UpstreamState = UpstreamState(
            info = info,
            report = null,
            reportMillis = 0,
            ownLoad = UpstreamLoad.NONE,
            ownLoadAtReport = UpstreamLoad.NONE,
            inFlightCountAtReport = 0,
            health = UpstreamHealth.UNKNOWN,
            inFlight = persistentMapOf(),
            cachedPieceHashes = persistentMapOf(),
        )
    }
}
