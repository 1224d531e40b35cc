package marigoldward.gateway.session

import marigoldward.core.control.Fingerprint
import marigoldward.core.dispatch.Attempt
import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.UpstreamRecord
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.GatewayMetrics
import marigoldward.support.log.EventLog

/** Logs the attempts and the outcome of each request, and counts them in the metrics. */
internal object SessionLog {
    private val log = EventLog.fromName("session")

    /** Ends that may be a crash of the upstream. */
    private val LOST_UPSTREAM_ENDS = setOf(AttemptEnd.BROKEN, AttemptEnd.SILENT)

    fun sent(
        request: SessionRequest,
        attempt: Attempt,
        step: String,
        cacheSource: ListedUpstream?,
        record: UpstreamRecord?,
        remainingMillis: Long,
    ) {
        log.info("sent") {
            field("request", request.id)
            field("step", step)
            field("upstream", attempt.upstream)
            field("left_ms", remainingMillis)
            field("tokens", attempt.prefillTokens)
            field("copies_from", cacheSource?.id)
            field("own", record?.attempts?.size)
            field("reported", record?.report?.let { "${it.running}+${it.waiting}" })
            field("report_age_ms", record?.report?.let { attempt.startedMillis - record.reportMillis })
            field("failures", record?.health?.consecutiveFailures)
        }
    }

    fun attemptEnded(request: SessionRequest, attempt: Attempt, end: AttemptEnd, reason: String, nowMillis: Long) {
        GatewayMetrics.recordAttemptEnd(end.name.lowercase())
        if (end == AttemptEnd.ANSWERED) return
        log.info("attempt_ended") {
            field("request", request.id)
            field("upstream", attempt.upstream)
            field("end", end.name.lowercase())
            field("reason", reason)
            field("took_ms", nowMillis - attempt.startedMillis)
            if (end in LOST_UPSTREAM_ENDS) {
                field("parts", request.metadata.prompt?.sharedParts?.joinToString(",") { it.id })
            }
        }
    }

    fun upstreamRefuses(request: SessionRequest, upstream: UpstreamId, durationMillis: Long) {
        log.info("upstream_refuses") {
            field("request", request.id)
            field("upstream", upstream)
            field("for_ms", durationMillis)
        }
    }

    fun quarantined(request: SessionRequest, fingerprint: Fingerprint) {
        val part = request.metadata.prompt?.sharedParts?.firstOrNull { RequestFingerprints.of(it) == fingerprint }
        log.info("quarantined") {
            field("request", request.id)
            field("fingerprint", fingerprint)
            field("part", part?.id)
        }
    }

    fun ended(request: SessionRequest, outcome: String, status: Int?, timing: ResponseTiming, nowMillis: Long) {
        val totalMillis = nowMillis - request.arrivedMillis
        GatewayMetrics.recordRequestEnd(request.route, outcome, timing, totalMillis)
        log.info("ended") {
            field("request", request.id)
            field("route", request.route.name)
            request.workspace?.let { field("workspace", it.name) }
            field("outcome", outcome)
            field("status", status)
            field("first_ms", timing.firstPartMillis)
            field("pause_ms", timing.longestPauseMillis)
            field("took_ms", totalMillis)
        }
    }
}
