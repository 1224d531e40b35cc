package marigoldward.gateway.session

import marigoldward.core.dispatch.LeavingUpstreams
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.support.log.EventLog

/** Logs which upstreams get no more requests because they are leaving, which are used again and which are new starts. */
internal object LeavingLog {
    private val log = EventLog.fromName("upstream")

    /** Logs that [upstream] has announced it in an answer that was received just now. */
    fun announcedInAnswer(upstream: ListedUpstream) = logLeaving(upstream, "answer", ageMillis = 0)

    /** Logs what has changed with [list], which was read [ageMillis] ago. */
    fun listApplied(list: LeavingUpstreams.AppliedList, ageMillis: Long) {
        list.left.forEach { logLeaving(it, "list", ageMillis) }
        list.restarted.forEach { upstream ->
            log.info("upstream_restarted") {
                field("upstream", upstream.id)
                field("address", upstream.address)
                field("started", upstream.startedUnixMillis)
                field("leaving", upstream.isLeaving)
                field("age_ms", ageMillis)
            }
        }
        list.returned.forEach { upstream ->
            log.info("upstream_returned") {
                field("upstream", upstream.id)
                field("address", upstream.address)
                field("cold", upstream.isCold)
                field("started", upstream.startedUnixMillis)
                field("age_ms", ageMillis)
            }
        }
    }

    private fun logLeaving(upstream: ListedUpstream, source: String, ageMillis: Long) {
        log.info("upstream_leaving") {
            field("upstream", upstream.id)
            field("address", upstream.address)
            field("source", source)
            field("age_ms", ageMillis)
        }
    }
}
