package marigoldward.bench.capacity

import io.grpc.stub.StreamObserver
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.distribution.DistributionRpc
import marigoldward.wire.distribution.DistributionUpdate
import marigoldward.wire.distribution.SubscribeRequest
import marigoldward.wire.distribution.SubscriberReport
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Emulates [count] subscribers of one control instance in this process. */
internal class Subscribers(address: InetSocketAddress, identity: ClusterIdentity, private val count: Int) :
    AutoCloseable {
    private val clients = List(CONNECTIONS) { RpcClient.to(address, identity) }
    private val receivedRevisions = ConcurrentHashMap<Int, Long>()

    /** Opens the subscriptions of all subscribers. */
    fun subscribe() {
        repeat(count) { number ->
            val request = SubscribeRequest(nameOf(number), DATA_CENTRE)
            clients[number % CONNECTIONS].openStream(DistributionRpc.SUBSCRIBE, request, UpdateObserver(number))
        }
    }

    /** Sends one report of each subscriber, which renews its subscription. */
    fun renewAll() {
        repeat(count) { number ->
            val revision = Revision.fromNumber(receivedRevisions[number] ?: 0)
            val report = SubscriberReport(nameOf(number), DATA_CENTRE, revision)
            clients[number % CONNECTIONS].callAsync(
                DistributionRpc.REPORT,
                report,
                CALL_TIMEOUT_MILLIS,
                IgnoringObserver,
            )
        }
    }

    /**
     * Waits until all subscribers have received [revision] or a later one.
     *
     * Returns the milliseconds since [startMillis], or null after a time-out.
     */
    fun awaitOrNull(revision: Long, startMillis: Long): Long? {
        while (MonotonicClock.nowMillis() - startMillis < WAIT_TIMEOUT_MILLIS) {
            val isReceivedByAll = receivedRevisions.size == count && receivedRevisions.values.all { it >= revision }
            if (isReceivedByAll) return MonotonicClock.nowMillis() - startMillis
            Thread.sleep(1)
        }
        return null
    }

    override fun close() = clients.forEach(RpcClient::close)

    private fun nameOf(number: Int): InstanceId = InstanceId.parse("subscriber-$number")

    private inner class UpdateObserver(private val number: Int) : StreamObserver<DistributionUpdate> {
        override fun onNext(value: DistributionUpdate) {
            receivedRevisions[number] = value.revision.number
        }

        override fun onError(failure: Throwable) = Unit

        override fun onCompleted() = Unit
    }

    private object IgnoringObserver : StreamObserver<Acknowledgement> {
        override fun onNext(value: Acknowledgement) = Unit

        override fun onError(failure: Throwable) = Unit

        override fun onCompleted() = Unit
    }

    private companion object {
        const val CONNECTIONS = 8
        const val CALL_TIMEOUT_MILLIS = 2_000L
        const val WAIT_TIMEOUT_MILLIS = 12_000L
        val DATA_CENTRE: DataCentre = DataCentre.parse("ljubljana-a")
    }
}
