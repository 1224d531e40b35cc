package marigoldward.gateway.control

import io.grpc.stub.StreamObserver
import marigoldward.core.model.InstanceId
import marigoldward.gateway.GatewaySettings
import marigoldward.gateway.session.CrashSuspicions
import marigoldward.support.log.EventLog
import marigoldward.wire.feed.CrashReport
import marigoldward.wire.feed.CrashReportReply
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.rpc.RpcClient

/**
 * Sends the reports of [suspicions] to the control instance that leads, one at a time, until each is committed.
 *
 * Confined to the event loop thread. The connection is opened for the first report and closed when no other follows.
 *
 * @param schedule runs an action on the event loop thread after a delay in milliseconds
 * @param nextInstance returns a control instance to ask if the leader is not known, or null if none is known
 */
internal class CrashReporter(
    private val settings: GatewaySettings,
    private val suspicions: CrashSuspicions,
    private val schedule: (Long, () -> Unit) -> Unit,
    private val nextInstance: () -> InstanceId?,
) : AutoCloseable {
    private var leader: InstanceId? = null
    private var connection: Connection? = null
    private var isScheduled = false
    private var isInFlight = false
    private var reportCount = 0L

    private class Connection(val instance: InstanceId, val client: RpcClient)

    /** Sends what is to be reported after a short delay, in which further observations of the same crash arrive. */
    fun requestReport() {
        if (isScheduled || isInFlight) return
        isScheduled = true
        schedule(COLLECT_MILLIS, ::send)
    }

    override fun close() {
        connection?.client?.close()
        connection = null
    }

    private fun send() {
        isScheduled = false
        val report = suspicions.takeReportOrNull() ?: return
        isInFlight = true
        reportCount++
        val client = clientOrNull()
        if (client == null) {
            leader = null
            onUndelivered(report)
        } else {
            client.callAsync(FeedRpc.REPORT_CRASHES, report, CALL_TIMEOUT_MILLIS, ReplyObserver(report))
        }
    }

    private fun clientOrNull(): RpcClient? {
        val target = leader ?: nextInstance() ?: return null
        connection?.let { open -> if (open.instance == target) return open.client }
        close()
        val address = settings.cluster.rpcAddressOrNull(target) ?: return null
        val client = RpcClient.to(address, settings.cluster.identity)
        connection = Connection(target, client)
        return client
    }

    private fun onReply(report: CrashReport, reply: CrashReportReply) {
        leader = reply.leader
        if (!reply.isCommitted) return onUndelivered(report)
        isInFlight = false
        log.info("crashes_reported") {
            field("control", connection?.instance)
            field("upstreams", report.crashes.joinToString(",") { it.upstream.text })
            field("requests", report.crashes.sumOf { it.requests.size })
            field("answered", report.answered.size)
        }
        requestReport()
        val countAtReply = reportCount
        schedule(IDLE_MILLIS) { if (reportCount == countAtReply) close() }
    }

    private fun onUndelivered(report: CrashReport) {
        isInFlight = false
        suspicions.restore(report)
        isScheduled = true
        schedule(RETRY_MILLIS, ::send)
    }

    private fun onFailure(report: CrashReport, failure: Throwable) {
        log.info("crash_report_failed") {
            field("control", connection?.instance)
            field("reason", failure.message)
        }
        close()
        leader = null
        onUndelivered(report)
    }

    private inner class ReplyObserver(private val report: CrashReport) : StreamObserver<CrashReportReply> {
        override fun onNext(value: CrashReportReply) = schedule(0) { onReply(report, value) }

        override fun onError(failure: Throwable) = schedule(0) { onFailure(report, failure) }

        override fun onCompleted() = Unit
    }

    private companion object {
        const val COLLECT_MILLIS = 30L
        const val RETRY_MILLIS = 100L
        const val IDLE_MILLIS = 5_000L

        /** Longer than a commit takes, shorter than the election after which another instance leads. */
        const val CALL_TIMEOUT_MILLIS = 1_000L
        val log = EventLog.fromName("crashes")
    }
}
