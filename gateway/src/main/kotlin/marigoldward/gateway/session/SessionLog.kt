package marigoldward.gateway.session

import marigoldward.core.dispatch.Attempt
import marigoldward.core.dispatch.AttemptEnd
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.dispatch.UpstreamRecord
import marigoldward.gateway.GatewayMetrics
import marigoldward.support.log.EventLog

/** The lines about requests: one for each decision on one. */
internal object SessionLog {
    private val log = EventLog.fromName("session")

    fun sent(
        request: SessionRequest,
        attempt: Attempt,
        step: String,
        copyFrom: ListedUpstream?,
        record: UpstreamRecord?,
        leftMillis: Long,
    ) {
        log.info("sent") {
            field("request", request.id)
            field("step", step)
            field("upstream", attempt.upstream)
            field("left_ms", leftMillis)
            field("tokens", attempt.prefillTokens)
            field("copies_from", copyFrom?.id)
            field("own", record?.attempts?.size)
            field("reported", record?.report?.let { "${it.running}+${it.waiting}" })
            field("report_age_ms", record?.report?.let { attempt.startedMillis - record.reportMillis })
            field("failures", record?.health?.consecutiveFailures)
        }
    }

    fun attemptEnded(request: SessionRequest, attempt: Attempt, end: AttemptEnd, reason: String, nowMillis: Long) {
        GatewayMetrics.attemptEnded(end.name.lowercase())
        if (end == AttemptEnd.ANSWERED) return
        log.info("attempt_ended") {
            field("request", request.id)
            field("upstream", attempt.upstream)
            field("end", end.name.lowercase())
            field("reason", reason)
            field("took_ms", nowMillis - attempt.startedMillis)
        }
    }

    fun ended(request: SessionRequest, outcome: String, status: Int?, pace: AnswerPace, nowMillis: Long) {
        val wholeMillis = nowMillis - request.arrivedMillis
        GatewayMetrics.requestEnded(request.route, outcome, pace, wholeMillis)
        log.info("ended") {
            field("request", request.id)
            field("route", request.route.name)
            field("outcome", outcome)
            field("status", status)
            field("first_ms", pace.firstMillis)
            field("pause_ms", pace.longestPauseMillis)
            field("took_ms", wholeMillis)
        }
    }
}
