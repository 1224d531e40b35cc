package marigoldward.control.stages

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.UpstreamId

/**
 * The latest known start of each engine, by the directory and by the engines' own reports, which may be ahead of it.
 *
 * Not thread-safe.
 */
internal class EngineStarts {
    private val latest = HashMap<UpstreamId, ListedUpstream>()

    /**
     * Records [engine], as it is listed or with the time of the start that it reports, and returns whether this is a start
     * after the latest known one.
     */
    fun record(engine: ListedUpstream): Boolean {
        val before = latest[engine.id]
        val isNew = before != null && engine.isNewStartAfter(before) && !isEarlier(engine, before)
        if (before == null || isNew || !isEarlier(engine, before)) {
            latest[engine.id] =
                engine.copy(
                    startedUnixMillis =
                    engine.startedUnixMillis ?: before?.startedUnixMillis.takeUnless { isNew },
                )
        }
        return isNew
    }

    /** Forgets the engines that are not in [ids]. */
    fun retain(ids: Set<UpstreamId>) {
        latest.keys.retainAll(ids)
    }

    private fun isEarlier(engine: ListedUpstream, other: ListedUpstream): Boolean {
        val startedUnixMillis = engine.startedUnixMillis ?: return false
        val otherUnixMillis = other.startedUnixMillis ?: return false
        return engine.address == other.address && startedUnixMillis < otherUnixMillis
    }
}
