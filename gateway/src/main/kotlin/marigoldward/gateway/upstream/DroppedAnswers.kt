package marigoldward.gateway.upstream

import marigoldward.core.model.UpstreamId
import marigoldward.gateway.GatewayMetrics
import marigoldward.support.log.EventLog

/** Logs and counts what upstreams sent that is no answer to the call on its connection. */
internal object DroppedAnswers {
    private val log = EventLog.fromName("upstream")

    /** Why something was dropped; the name in lower case is the label of the metric. */
    enum class Reason {
        /** It answers a request that the connection carried before, or one that it never carried. */
        OTHER_REQUEST,

        /** It answers another request, and nothing shows where it ends. */
        NOT_DELIMITED,

        /** It bears no request id, and the connection has carried several requests. */
        NO_REQUEST_ID,

        /** It arrived while the connection carried no call, or behind the complete answer to one. */
        UNASKED,
    }

    fun record(reason: Reason, upstream: UpstreamId, expectedRequestId: String?, requestId: String?) {
        val label = reason.name.lowercase()
        GatewayMetrics.recordAnswerDropped(label)
        log.info("answer_dropped") {
            field("upstream", upstream)
            field("reason", label)
            field("request", expectedRequestId)
            field("answered", requestId)
        }
    }
}
