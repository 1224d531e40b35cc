package marigoldward.control.exchange

import io.grpc.ServerServiceDefinition
import io.grpc.stub.StreamObserver
import marigoldward.control.replica.PublishedStatus
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.control.replica.RoutesReply
import marigoldward.core.model.InstanceId
import marigoldward.support.duty.Duty
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.feed.EntryExchangeReply
import marigoldward.wire.feed.EntryExchangeRequest
import marigoldward.wire.feed.ExchangeRpc
import marigoldward.wire.rpc.ClusterAccess
import marigoldward.wire.rpc.RpcClient
import marigoldward.wire.rpc.ServiceBuilder

/**
 * Replies to the requests of entries. The leader collects them, and after a majority has confirmed that it still leads,
 * replies to all of them with the version of the route configuration in force. Another instance passes a request on to
 * the leader, once.
 *
 * @param parts the parts of the leader that take part in the exchange
 * @param status returns the status of this instance's replica
 */
internal class EntryExchanges(
    private val cluster: ClusterAccess,
    private val replica: Duty<ReplicaDutyEvent>,
    private val parts: List<ExchangePart>,
    private val status: () -> PublishedStatus,
) : AutoCloseable {
    private val lock = Any()
    private var waiting = ArrayList<Waiting>()
    private var confirmationStartedMillis: Long? = null
    private var leaderClient: LeaderClient? = null

    private class Waiting(val request: EntryExchangeRequest, val observer: StreamObserver<EntryExchangeReply>)

    private class LeaderClient(val leader: InstanceId, val client: RpcClient, val createdMillis: Long)

    /** The service that entries and other control instances call. */
    val service: ServerServiceDefinition =
        ServiceBuilder.named(ExchangeRpc.SERVICE).unaryAsync(ExchangeRpc.EXCHANGE, ::exchange).build()

    /** Starts a confirmation for the requests that wait, unless one is in progress. Called at short intervals. */
    fun replyToWaiting() {
        val nowMillis = MonotonicClock.nowMillis()
        val taken = synchronized(lock) {
            val startedMillis = confirmationStartedMillis
            val isInProgress = startedMillis != null && nowMillis - startedMillis < MAX_CONFIRMATION_MILLIS
            if (isInProgress || waiting.isEmpty()) return
            confirmationStartedMillis = nowMillis
            waiting.also { waiting = ArrayList() }
        }
        val isQueued = replica.offer(ReplicaDutyEvent.ReadRoutes { reply -> onConfirmation(nowMillis, taken, reply) })
        if (!isQueued) onConfirmation(nowMillis, taken, RoutesReply.NotLeader(status().leader))
    }

    override fun close() {
        synchronized(lock) {
            leaderClient?.client?.close()
            leaderClient = null
        }
    }

    private fun exchange(request: EntryExchangeRequest, observer: StreamObserver<EntryExchangeReply>) {
        val current = status()
        val leader = current.leader
        when {
            current.isLeader -> collect(request, observer)
            leader == null || request.isForwarded -> reply(observer, unconfirmed(leader))
            else -> forward(request, leader, observer)
        }
    }

    private fun collect(request: EntryExchangeRequest, observer: StreamObserver<EntryExchangeReply>) {
        val receivedMillis = MonotonicClock.nowMillis()
        parts.forEach { it.onRequest(request, receivedMillis) }
        val isCollected = synchronized(lock) {
            (waiting.size < MAX_WAITING).also { if (it) waiting.add(Waiting(request, observer)) }
        }
        if (!isCollected) reply(observer, unconfirmed(status().leader))
    }

    private fun onConfirmation(startedMillis: Long, taken: List<Waiting>, routes: RoutesReply) {
        // The end of one that took too long must not end the next one.
        synchronized(lock) { if (confirmationStartedMillis == startedMillis) confirmationStartedMillis = null }
        val current = status()
        taken.forEach { item ->
            val reply = when (routes) {
                is RoutesReply.NotLeader -> unconfirmed(routes.leader)
                is RoutesReply.Current -> {
                    val confirmed =
                        EntryExchangeReply(true, routes.document?.version ?: 0, current.leader, current.term)
                    parts.fold(confirmed) { reply, part -> part.addTo(reply, item.request) }
                }
            }
            reply(item.observer, reply)
        }
    }

    private fun forward(
        request: EntryExchangeRequest,
        leader: InstanceId,
        observer: StreamObserver<EntryExchangeReply>,
    ) {
        val client = clientOrNull(leader) ?: return reply(observer, unconfirmed(leader))
        val forwarded = request.copy(isForwarded = true)
        client.callAsync(ExchangeRpc.EXCHANGE, forwarded, FORWARD_TIMEOUT_MILLIS, Forwarding(leader, observer))
    }

    private fun clientOrNull(leader: InstanceId): RpcClient? = synchronized(lock) {
        leaderClient?.let { known ->
            if (known.leader == leader) return known.client
            known.client.close()
        }
        val client = cluster.rpcAddressOrNull(leader)?.let { RpcClient.to(it, cluster.identity) }
        leaderClient = client?.let { LeaderClient(leader, it, MonotonicClock.nowMillis()) }
        client
    }

    private inner class Forwarding(
        private val leader: InstanceId,
        private val observer: StreamObserver<EntryExchangeReply>,
    ) : StreamObserver<EntryExchangeReply> {
        override fun onNext(value: EntryExchangeReply) = reply(observer, value)

        override fun onError(failure: Throwable) {
            reply(observer, unconfirmed(leader))
            dropFailingClient(leader)
        }

        override fun onCompleted() = Unit
    }

    /**
     * Drops the client after a failure, unless it is new. A client that can't connect waits longer and longer, up to
     * minutes, before it tries again, during which all calls fail though the leader may be reachable.
     */
    private fun dropFailingClient(leader: InstanceId) = synchronized(lock) {
        val known = leaderClient ?: return
        if (known.leader != leader) return
        if (MonotonicClock.nowMillis() - known.createdMillis < MIN_CLIENT_MILLIS) return
        leaderClient = null
        known.client.close()
    }

    /** Sends [reply]; the entry may have given up waiting for it. */
    private fun reply(observer: StreamObserver<EntryExchangeReply>, reply: EntryExchangeReply) {
        runCatching {
            observer.onNext(reply)
            observer.onCompleted()
        }
    }

    private fun unconfirmed(leader: InstanceId?): EntryExchangeReply =
        EntryExchangeReply(isConfirmed = false, leader = leader)

    private companion object {
        /** More requests than the entries of a cluster send until they give up; bounds the memory for them. */
        const val MAX_WAITING = 2_000

        /** Longer than entries wait for a reply. */
        const val MAX_CONFIRMATION_MILLIS = 1_000L

        /** Shorter than entries wait for a reply, so that they get one from this instance. */
        const val FORWARD_TIMEOUT_MILLIS = 400L

        /** Bounds how many connections to a leader that doesn't answer are opened. */
        const val MIN_CLIENT_MILLIS = 2_000L
    }
}
