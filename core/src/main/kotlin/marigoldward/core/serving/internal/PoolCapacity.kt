package marigoldward.core.serving.internal

import marigoldward.core.model.EngineRole
import marigoldward.core.serving.ServingState
import marigoldward.core.serving.UpstreamState

/**
 * Decides whether a pool as a whole can take one more stream.
 *
 * Requests of other processes that are still in prefill will soon need a slot as well, and all processes see a free
 * slot at the same time. So each process takes only its part of the slots that the reports show to be free, though at
 * least one, and a few more for privileged work.
 */
internal object PoolCapacity {
    private const val MIN_PRIVILEGED_STREAMS = 3

    /** Returns whether one more request may be sent if each of [upstreams] takes up to [streamsPerEngine] streams. */
    fun hasCapacity(
        state: ServingState,
        upstreams: List<UpstreamState>,
        streamsPerEngine: Int,
        isPrivileged: Boolean,
    ): Boolean {
        val slots = upstreams.count { it.role != EngineRole.PREFILL } * streamsPerEngine
        val ownStreams = upstreams.sumOf { it.inFlight.size }
        val ownStreamsAtReport = upstreams.sumOf { minOf(it.inFlightCountAtReport, it.inFlight.size) }
        val reportedStreams = upstreams.sumOf { it.report?.streams ?: 0 }
        val otherStreams = maxOf(0, reportedStreams - upstreams.sumOf { it.inFlightCountAtReport })
        if (otherStreams + ownStreams >= slots) return false
        val freeAtReport = slots - otherStreams - ownStreamsAtReport
        val sentSinceReport = ownStreams - ownStreamsAtReport
        val minStreams = if (isPrivileged) MIN_PRIVILEGED_STREAMS else 1
        return sentSinceReport < maxOf(minStreams, freeAtReport / state.entries.size)
    }
}
