package marigoldward.wire.control

import io.grpc.MethodDescriptor
import marigoldward.core.Outcome
import marigoldward.core.control.ControlCommand
import marigoldward.core.model.InstanceId
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import marigoldward.wire.rpc.RpcFailure
import marigoldward.wire.rpc.RpcLimits
import java.net.InetSocketAddress

/** A client of the control instances that finds the leader among them. Thread-safe. */
public class ControlClient private constructor(private val clients: Map<InstanceId, RpcClient>) : AutoCloseable {
    @Volatile
    private var lastLeader: InstanceId = clients.keys.first()

    /**
     * Submits [command] to the leader and waits until it is committed.
     *
     * Every command is idempotent, so it is sent again while its outcome is unknown, for at most [timeoutMillis].
     * After that, returns [SubmitReply.Unknown] if the command may have taken effect, else [SubmitReply.Refused].
     */
    public fun submit(
        command: ControlCommand,
        timeoutMillis: Long = RpcLimits.QUORUM_CALL_TIMEOUT_MILLIS,
    ): SubmitReply = submitTo(ControlRpc.SUBMIT, SubmitRequest(command), timeoutMillis)

    /** Replaces the replica [name], whose disk was lost, with its new incarnation, which has an empty disk. */
    public fun replaceReplica(name: InstanceId): SubmitReply =
        submitTo(ControlRpc.REPLACE, ReplaceReplicaRequest(name), RpcLimits.QUORUM_CALL_TIMEOUT_MILLIS)

    private fun <Q : Any> submitTo(
        method: MethodDescriptor<Q, SubmitReply>,
        request: Q,
        timeoutMillis: Long,
    ): SubmitReply {
        var mayHaveTakenEffect = false
        val reply = callLeader<SubmitReply>(timeoutMillis) { client, remainingMillis ->
            when (val reply = client.call(method, request, minOf(remainingMillis, RpcLimits.ATTEMPT_TIMEOUT_MILLIS))) {
                is Outcome.Failure -> {
                    if (!reply.error.isKnownNotExecuted) mayHaveTakenEffect = true
                    Attempt.TryOther(null)
                }
                is Outcome.Success -> when (val value = reply.value) {
                    is SubmitReply.NotLeader -> Attempt.TryOther(value.leader)
                    SubmitReply.Unknown -> {
                        mayHaveTakenEffect = true
                        Attempt.TryOther(null)
                    }
                    is SubmitReply.Committed, is SubmitReply.Refused -> Attempt.Answered(value)
                }
            }
        }
        val noLeaderReached = SubmitReply.Refused("no control instance that leads was reached")
        return reply ?: if (mayHaveTakenEffect) SubmitReply.Unknown else noLeaderReached
    }

    /** Requests a lease or its renewal. Returns null if no leader answered within [timeoutMillis]. */
    public fun lease(request: LeaseRequest, timeoutMillis: Long): LeaseReply? =
        callLeader(timeoutMillis) { client, remainingMillis ->
            when (val reply = client.call(ControlRpc.LEASE, request, remainingMillis)) {
                is Outcome.Failure -> Attempt.TryOther(null)
                is Outcome.Success -> when (val value = reply.value) {
                    is LeaseReply.Unavailable -> Attempt.TryOther(value.leader)
                    is LeaseReply.Granted, is LeaseReply.Taken -> Attempt.Answered(value)
                }
            }
        }

    /** Reads the records of all engines. Returns null if no leader answered within [timeoutMillis]. */
    public fun engines(timeoutMillis: Long): EnginesReply? = callLeader(timeoutMillis) { client, remainingMillis ->
        when (val reply = client.call(ControlRpc.ENGINES, EnginesRequest(), remainingMillis)) {
            is Outcome.Failure -> Attempt.TryOther(null)
            is Outcome.Success ->
                if (reply.value.engines == null) Attempt.TryOther(reply.value.leader) else Attempt.Answered(reply.value)
        }
    }

    /** Reads the status of each control instance, as that instance knows it. */
    public fun statuses(withBundle: Boolean): List<InstanceStatus> = clients.map { (name, client) ->
        val reply = client.call(ControlRpc.STATUS, StatusRequest(withBundle), RpcLimits.SHORT_CALL_TIMEOUT_MILLIS)
        InstanceStatus(name, reply)
    }

    override fun close() {
        clients.values.forEach(RpcClient::close)
    }

    private fun <T : Any> callLeader(timeoutMillis: Long, callOne: (RpcClient, Long) -> Attempt<T>): T? {
        val endMillis = nowMillis() + timeoutMillis
        var next = lastLeader
        while (nowMillis() < endMillis) {
            when (val attempt = callOne(clients.getValue(next), endMillis - nowMillis())) {
                is Attempt.Answered -> {
                    lastLeader = next
                    return attempt.value
                }
                is Attempt.TryOther -> {
                    next = attempt.leader?.takeIf { it in clients && it != next } ?: instanceAfter(next)
                    Thread.sleep(RETRY_PAUSE_MILLIS)
                }
            }
        }
        return null
    }

    private fun instanceAfter(name: InstanceId): InstanceId {
        val names = clients.keys.toList()
        return names[(names.indexOf(name) + 1) % names.size]
    }

    private fun nowMillis(): Long = MonotonicClock.nowMillis()

    /** The status of the control instance [name], or why it could not be read. */
    public data class InstanceStatus(val name: InstanceId, val reply: Outcome<StatusReply, RpcFailure>)

    /** The result of a call to one control instance: an answer, or the leader to try instead if it is known. */
    private sealed interface Attempt<out T> {
        data class Answered<T>(val value: T) : Attempt<T>

        data class TryOther(val leader: InstanceId?) : Attempt<Nothing>
    }

    public companion object {
        private const val RETRY_PAUSE_MILLIS = 50L

        /**
         * Returns a client of the control instances at [addresses].
         *
         * @throws IllegalArgumentException if [addresses] is empty
         */
        public fun to(addresses: Map<InstanceId, InetSocketAddress>, identity: ClusterIdentity): ControlClient {
            require(addresses.isNotEmpty()) { "there are no control instances" }
            return ControlClient(addresses.mapValues { RpcClient.to(it.value, identity) })
        }
    }
}
