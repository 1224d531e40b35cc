package marigoldward.entry.control

import io.grpc.stub.StreamObserver
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.support.log.EventLog
import marigoldward.wire.distribution.DistributionRpc
import marigoldward.wire.distribution.DistributionUpdate
import marigoldward.wire.distribution.SubscribeRequest
import marigoldward.wire.distribution.SubscriberReport
import marigoldward.wire.distribution.SubscriptionHub
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import marigoldward.wire.rpc.RpcLimits
import java.net.InetSocketAddress

/**
 * This entry's leased subscription to configuration updates.
 *
 * The sources are the control instances and, after them, the other entries. Periodic reports renew the lease. The next
 * source is tried if the stream ends, or if the source rejects a report or leaves [MAX_UNANSWERED_REPORTS] of them
 * unanswered.
 */
internal class ControlSubscription private constructor(
    private val self: InstanceId,
    private val dataCentre: DataCentre,
    private val sources: List<RpcClient>,
    private val configurationHolder: ConfigurationHolder,
    private val hub: SubscriptionHub,
) : AutoCloseable {
    private var sourceIndex = 0
    private var subscriptionNumber = 0L
    private var isOpen = false
    private var unansweredReports = 0

    /** Sends the next report, or subscribes to the next source. Must be called periodically. */
    @Synchronized
    fun renewOrResubscribe() {
        if (!isOpen || unansweredReports >= MAX_UNANSWERED_REPORTS) {
            resubscribe()
            return
        }
        unansweredReports++
        val report = SubscriberReport(self, dataCentre, configurationHolder.revision, hub.reports)
        sources[sourceIndex].callAsync(
            DistributionRpc.REPORT,
            report,
            RpcLimits.SHORT_CALL_TIMEOUT_MILLIS,
            ReportObserver(subscriptionNumber),
        )
    }

    override fun close() {
        sources.forEach(RpcClient::close)
    }

    private fun resubscribe() {
        sourceIndex = (sourceIndex + if (subscriptionNumber == 0L) 0 else 1) % sources.size
        subscriptionNumber++
        isOpen = true
        unansweredReports = 0
        val request = SubscribeRequest(self, dataCentre)
        sources[sourceIndex].openStream(DistributionRpc.SUBSCRIBE, request, UpdateObserver(subscriptionNumber))
    }

    @Synchronized
    private fun onEnded(number: Long, reason: String) {
        if (number != subscriptionNumber || !isOpen) return
        isOpen = false
        log.info("subscription_lost") { field("reason", reason) }
    }

    @Synchronized
    private fun onReportAnswered(number: Long, isTaken: Boolean) {
        if (number != subscriptionNumber) return
        if (isTaken) unansweredReports = 0 else isOpen = false
    }

    private inner class UpdateObserver(private val number: Long) : StreamObserver<DistributionUpdate> {
        override fun onNext(value: DistributionUpdate) = configurationHolder.apply(value)

        override fun onError(failure: Throwable) = onEnded(number, failure.message.orEmpty())

        override fun onCompleted() = onEnded(number, "completed")
    }

    private inner class ReportObserver(private val number: Long) : StreamObserver<Acknowledgement> {
        override fun onNext(value: Acknowledgement) = onReportAnswered(number, value.isAccepted)

        override fun onError(failure: Throwable) = Unit

        override fun onCompleted() = Unit
    }

    companion object {
        private const val MAX_UNANSWERED_REPORTS = 3
        private val log = EventLog.fromName("subscription")

        /**
         * Creates the subscription; it starts with the first call of [renewOrResubscribe].
         *
         * The hash of [self] selects the control instance to start with, which spreads the entries over them.
         */
        fun create(
            self: InstanceId,
            dataCentre: DataCentre,
            control: Collection<InetSocketAddress>,
            peers: Collection<InetSocketAddress>,
            identity: ClusterIdentity,
            configurationHolder: ConfigurationHolder,
            hub: SubscriptionHub,
        ): ControlSubscription {
            val firstIndex = Math.floorMod(self.text.hashCode(), control.size)
            val rotated = control.drop(firstIndex) + control.take(firstIndex)
            val sources = (rotated + peers).map { RpcClient.to(it, identity) }
            return ControlSubscription(self, dataCentre, sources, configurationHolder, hub)
        }
    }
}
