package marigoldward.wire.distribution

import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import io.prometheus.metrics.core.metrics.Gauge
import marigoldward.core.model.InstanceId
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.ServiceBuilder

/**
 * The server of leased subscriptions.
 *
 * A subscriber that does not report within [LEASE_MILLIS] is dropped. To bound the fan-out of each process, further
 * subscribers are refused once the limit is reached; they subscribe to another process.
 */
public class SubscriptionHub private constructor(private val maxSubscribers: Int) {
    private val lock = Any()
    private var subscribers = emptyMap<InstanceId, Subscriber>()
    private var latestUpdate: DistributionUpdate? = null

    /** The service that subscribers call. */
    public val service: ServerServiceDefinition =
        ServiceBuilder
            .named(DistributionRpc.SERVICE)
            .serverStreaming(DistributionRpc.SUBSCRIBE, ::subscribe)
            .unary(DistributionRpc.REPORT, ::report)
            .build()

    /** The last report of each subscriber. */
    public val reports: List<SubscriberReport>
        get() = synchronized(lock) { subscribers.values.mapNotNull { it.report } }

    /** Sends [update] to all subscribers, and to later ones as their first message. */
    public fun publish(update: DistributionUpdate) {
        synchronized(lock) {
            latestUpdate = update
            subscribers.values.forEach { send(it, update) }
        }
    }

    /** Drops the subscribers whose lease has expired. */
    public fun dropExpired() {
        val nowMillis = MonotonicClock.nowMillis()
        synchronized(lock) {
            val expired = subscribers.filterValues { nowMillis - it.renewedMillis > LEASE_MILLIS }
            expired.forEach { (name, subscriber) -> drop(name, subscriber, "lease ran out") }
        }
    }

    private fun subscribe(request: SubscribeRequest, stream: ServerCallStreamObserver<DistributionUpdate>) {
        synchronized(lock) {
            val previous = subscribers[request.subscriber]
            if (previous != null) drop(request.subscriber, previous, "subscribed again")
            if (subscribers.size >= maxSubscribers) {
                stream.onError(Status.RESOURCE_EXHAUSTED.withDescription("$maxSubscribers subscribers").asException())
                return
            }
            val subscriber = Subscriber(stream, MonotonicClock.nowMillis(), null)
            subscribers = subscribers + (request.subscriber to subscriber)
            subscriptionGauge.set(subscribers.size.toDouble())
            stream.setOnCancelHandler { removeCancelled(request.subscriber, stream) }
            latestUpdate?.let { send(subscriber, it) }
        }
        log.info("subscribed") { field("subscriber", request.subscriber) }
    }

    private fun report(report: SubscriberReport): Acknowledgement = synchronized(lock) {
        val subscriber = subscribers[report.subscriber]
        if (subscriber != null) {
            val renewed = subscriber.copy(renewedMillis = MonotonicClock.nowMillis(), report = report)
            subscribers = subscribers + (report.subscriber to renewed)
        }
        Acknowledgement(isAccepted = subscriber != null)
    }

    private fun send(subscriber: Subscriber, update: DistributionUpdate) {
        runCatching { subscriber.stream.onNext(update) }
    }

    private fun drop(name: InstanceId, subscriber: Subscriber, reason: String) {
        subscribers = subscribers - name
        subscriptionGauge.set(subscribers.size.toDouble())
        runCatching { subscriber.stream.onError(Status.CANCELLED.withDescription(reason).asException()) }
        log.info("subscription_ended") {
            field("subscriber", name)
            field("reason", reason)
        }
    }

    private fun removeCancelled(name: InstanceId, stream: ServerCallStreamObserver<DistributionUpdate>) {
        synchronized(lock) {
            if (subscribers[name]?.stream === stream) subscribers = subscribers - name
            subscriptionGauge.set(subscribers.size.toDouble())
        }
    }

    private data class Subscriber(
        val stream: ServerCallStreamObserver<DistributionUpdate>,
        val renewedMillis: Long,
        val report: SubscriberReport?,
    )

    public companion object {
        /** How long a subscription lasts without a report. */
        public const val LEASE_MILLIS: Long = 6_000

        private val log = EventLog.fromName("distribution")
        private val subscriptionGauge: Gauge =
            Gauge
                .builder()
                .name("marigoldward_subscribers")
                .help("Open subscriptions to this process")
                .register()

        /** Returns a hub for at most [maxSubscribers] subscribers. */
        public fun create(maxSubscribers: Int): SubscriptionHub = SubscriptionHub(maxSubscribers)
    }
}
