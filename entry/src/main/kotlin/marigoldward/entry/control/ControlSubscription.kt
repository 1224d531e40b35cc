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
 * This entry's leased subscription to updates: first to a control instance, else to another entry of its data centre.
 *
 * Without answers to its reports it moves on to the next source.
 */
internal class ControlSubscription private constructor(
    private val self: InstanceId,
    private val dataCentre: DataCentre,
    private val sources: List<RpcClient>,
    private val holder: ConfigurationHolder,
    private val hub: SubscriptionHub,
) : AutoCloseable {
    private var position = 0
    private var subscription = 0L
    private var isOpen = false
    private var missedReports = 0

    /** Renews the subscription, or opens one with the next source. Called by the timer. */
    @Synchronized
    fun maintain() {
        if (!isOpen || missedReports >= MAX_MISSED_REPORTS) {
            reopen()
            return
        }
        missedReports++
        val report = SubscriberReport(self, dataCentre, holder.revision, hub.reports)
        sources[position].callAsync(
            DistributionRpc.REPORT,
            report,
            RpcLimits.SHORT_CALL_TIMEOUT_MILLIS,
            ReportAnswer(subscription),
        )
    }

    override fun close() {
        sources.forEach(RpcClient::close)
    }

    private fun reopen() {
        position = (position + if (subscription == 0L) 0 else 1) % sources.size
        subscription++
        isOpen = true
        missedReports = 0
        val request = SubscribeRequest(self, dataCentre)
        sources[position].openStream(DistributionRpc.SUBSCRIBE, request, Updates(subscription))
    }

    @Synchronized
    private fun ended(number: Long, reason: String) {
        if (number != subscription || !isOpen) return
        isOpen = false
        log.info("subscription_lost") { field("reason", reason) }
    }

    @Synchronized
    private fun renewed(number: Long, isAccepted: Boolean) {
        if (number != subscription) return
        if (isAccepted) missedReports = 0 else isOpen = false
    }

    private inner class Updates(private val number: Long) : StreamObserver<DistributionUpdate> {
        override fun onNext(value: DistributionUpdate) = holder.apply(value)

        override fun onError(failure: Throwable) = ended(number, failure.message.orEmpty())

        override fun onCompleted() = ended(number, "completed")
    }

    private inner class ReportAnswer(private val number: Long) : StreamObserver<Acknowledgement> {
        override fun onNext(value: Acknowledgement) = renewed(number, value.isAccepted)

        override fun onError(failure: Throwable) = Unit

        override fun onCompleted() = Unit
    }

    companion object {
        private const val MAX_MISSED_REPORTS = 3
        private val log = EventLog.fromName("subscription")

        /** Prepares the subscription; the entry's name decides which control instance is asked first. */
        fun create(
            self: InstanceId,
            dataCentre: DataCentre,
            control: Collection<InetSocketAddress>,
            peers: Collection<InetSocketAddress>,
            identity: ClusterIdentity,
            holder: ConfigurationHolder,
            hub: SubscriptionHub,
        ): ControlSubscription {
            val start = Math.floorMod(self.text.hashCode(), control.size)
            val rotated = control.drop(start) + control.take(start)
            val sources = (rotated + peers).map { RpcClient.to(it, identity) }
            return ControlSubscription(self, dataCentre, sources, holder, hub)
        }
    }
}
