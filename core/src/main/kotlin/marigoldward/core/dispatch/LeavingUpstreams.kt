package marigoldward.core.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import marigoldward.core.model.UpstreamId

/**
 * The upstreams that have announced that they are leaving, in an answer or through the directory.
 *
 * An announcement is final for the start of the upstream that made it, since a list that names the upstream as ready may
 * be older than the announcement, whatever its age. A start is identified by id, address and, if the directory tells it,
 * the time of the start. A directory that doesn't shows a new start in one of three ways: the upstream is cold again, it
 * was absent for [MIN_ABSENCE_MILLIS], or it was listed as leaving and is listed as ready for [MIN_READY_MILLIS] since. A
 * shorter absence may be an entry that was left out because the list changed while its pages were read. If no list was
 * read for [MIN_UNOBSERVED_MILLIS], a new start may have gone unseen, and the next list decides. One that is still
 * leaving says so again in its next answer.
 *
 * Has no clock of its own and is not thread-safe. Times are in milliseconds of monotonic time.
 */
public class LeavingUpstreams {
    private var announcements: PersistentMap<UpstreamId, Announcement> = persistentMapOf()
    private var lastReadMillis: Long? = null

    /**
     * @property upstream the upstream as it was last listed, with the time of its start if that was ever listed
     * @property absentSinceMillis when the first list was read that doesn't name the upstream, or null if the last one
     *   names it
     * @property wasListedLeaving whether a list has named the upstream as leaving
     * @property readySinceMillis when the first list was read that names it as ready after one that named it as leaving,
     *   or null if the last one doesn't name it as ready
     */
    private data class Announcement(
        val upstream: ListedUpstream,
        val announcedMillis: Long,
        val absentSinceMillis: Long? = null,
        val wasListedLeaving: Boolean = upstream.isLeaving,
        val readySinceMillis: Long? = null,
    ) {
        /** Returns the announcement after a list, read at [readMillis], that names the upstream as [listed]. */
        fun afterListed(listed: ListedUpstream, readMillis: Long) = copy(
            upstream = listed.copy(startedUnixMillis = listed.startedUnixMillis ?: upstream.startedUnixMillis),
            absentSinceMillis = null,
            wasListedLeaving = wasListedLeaving || listed.isLeaving,
            readySinceMillis = if (wasListedLeaving && !listed.isLeaving) readySinceMillis ?: readMillis else null,
        )
    }

    /**
     * The result of applying a list.
     *
     * @property upstreams the upstreams of the list; those that have announced it are marked as leaving
     * @property left the upstreams that announced through this list, for the first time, that they are leaving
     * @property returned the upstreams that have started again since they announced it
     * @property restarted the upstreams that have started again since the list before, whether or not they announced it
     */
    public data class AppliedList(
        val upstreams: List<ListedUpstream>,
        val left: List<ListedUpstream>,
        val returned: List<ListedUpstream>,
        val restarted: List<ListedUpstream> = emptyList(),
    )

    /** Whether this start of [upstream] has announced that it is leaving. */
    public operator fun contains(upstream: ListedUpstream): Boolean =
        announcements[upstream.id]?.let { !upstream.isOtherStartThan(it.upstream) } ?: false

    /**
     * Records that [upstream] announced in an answer, received at [nowMillis], that it is leaving, and returns whether
     * that is new.
     */
    public fun recordAnswer(upstream: ListedUpstream, nowMillis: Long): Boolean {
        if (upstream in this) return false
        announcements = announcements.put(upstream.id, Announcement(upstream, nowMillis))
        return true
    }

    /**
     * Applies [list], which was read at [readMillis]. Lists have to be applied in the order in which they were read; one
     * that hasn't changed since is applied again at the time at which it was read again.
     */
    public fun apply(list: List<ListedUpstream>, readMillis: Long): AppliedList {
        val unobservedMillis = lastReadMillis?.let { readMillis - it } ?: 0
        lastReadMillis = readMillis
        val newStarts = list.filter { isNewStart(it, readMillis, unobservedMillis) }
        newStarts.forEach { announcements = announcements.remove(it.id) }
        recordAbsent(list, readMillis)
        val left = list.filter { it.isLeaving && it !in this }
        left.forEach { announcements = announcements.put(it.id, Announcement(it, readMillis)) }
        val marked = list.map { if (it in this) it.copy(isLeaving = true) else it }
        return AppliedList(marked, left, newStarts.filter { !it.isLeaving })
    }

    private fun isNewStart(listed: ListedUpstream, readMillis: Long, unobservedMillis: Long): Boolean {
        val known = announcements[listed.id] ?: return false
        val knownForMillis = readMillis - known.announcedMillis
        val readyForMillis = known.readySinceMillis?.let { readMillis - it } ?: 0
        return when {
            listed.isOtherStartThan(known.upstream) -> true
            knownForMillis > 0 && listed.isNewStartAfter(known.upstream) -> true
            readyForMillis >= MIN_READY_MILLIS && !listed.isLeaving -> true
            else -> minOf(unobservedMillis, knownForMillis) >= MIN_UNOBSERVED_MILLIS && !listed.isLeaving
        }
    }

    /** Records which upstreams [list] doesn't name, and forgets those that have been absent for long enough. */
    private fun recordAbsent(list: List<ListedUpstream>, readMillis: Long) {
        if (announcements.isEmpty()) return
        val listed = list.associateBy { it.id }
        announcements.forEach { (id, known) ->
            val current = listed[id]
            val absentSinceMillis = known.absentSinceMillis ?: readMillis
            announcements = when {
                current != null -> announcements.put(id, known.afterListed(current, readMillis))
                readMillis <= known.announcedMillis -> announcements
                readMillis - absentSinceMillis >= MIN_ABSENCE_MILLIS -> announcements.remove(id)
                else -> announcements.put(id, known.copy(absentSinceMillis = absentSinceMillis))
            }
        }
    }

    private companion object {
        /** Longer than the time between two readings of the directory. */
        const val MIN_ABSENCE_MILLIS = 1_000L

        /** Longer than any list is behind another one that was read before it. */
        const val MIN_READY_MILLIS = 5_000L

        /** The shortest time in which an upstream that is leaving may have ended and started again. */
        const val MIN_UNOBSERVED_MILLIS = 5_000L
    }
}
