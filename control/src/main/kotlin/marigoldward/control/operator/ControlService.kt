package marigoldward.control.operator

import io.grpc.ServerServiceDefinition
import io.grpc.stub.StreamObserver
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.core.Outcome
import marigoldward.core.control.ControlCommand
import marigoldward.support.declarations.DeclarationReader
import marigoldward.support.duty.Duty
import marigoldward.wire.control.ControlRpc
import marigoldward.wire.control.EnginesReply
import marigoldward.wire.control.LeaseReply
import marigoldward.wire.control.SubmitReply
import marigoldward.wire.control.SubmitRequest
import marigoldward.wire.distribution.SubscriptionHub
import marigoldward.wire.rpc.ServiceBuilder

/** The gRPC service for operators, controllers and entries. */
internal class ControlService(private val replica: Duty<ReplicaDutyEvent>, private val hub: SubscriptionHub) {
    val service: ServerServiceDefinition =
        ServiceBuilder
            .named(ControlRpc.SERVICE)
            .unaryAsync(ControlRpc.SUBMIT, ::submit)
            .unaryAsync(ControlRpc.LEASE) { request, observer ->
                offer(ReplicaDutyEvent.RequestLease(request, replyTo(observer)), observer, LeaseReply.Unavailable(null))
            }.unaryAsync(ControlRpc.ENGINES) { _, observer ->
                offer(ReplicaDutyEvent.ReadEngines(replyTo(observer)), observer, EnginesReply(null, null))
            }.unaryAsync(ControlRpc.STATUS) { request, observer ->
                val answer = replyTo(observer)
                replica.put(
                    ReplicaDutyEvent.ReadStatus(request.withBundle) { answer(it.copy(subscribers = hub.reports)) },
                )
            }.unaryAsync(ControlRpc.REPLACE) { request, observer ->
                offer(ReplicaDutyEvent.Replace(request.name, replyTo(observer)), observer, BUSY)
            }.build()

    private fun submit(request: SubmitRequest, observer: StreamObserver<SubmitReply>) {
        val refusal = refusalOrNull(request.command)
        if (refusal != null) {
            replyTo(observer)(SubmitReply.Refused(refusal))
            return
        }
        offer(ReplicaDutyEvent.Submit(request.command, replyTo(observer)), observer, BUSY)
    }

    /**
     * Returns why [command] is refused, or null if it is not. A configuration is validated before it can reach the log;
     * leases have their own call.
     */
    private fun refusalOrNull(command: ControlCommand): String? = when (command) {
        is ControlCommand.ApplyConfiguration -> when (val read = DeclarationReader.read(command.bundle)) {
            is Outcome.Success -> null
            is Outcome.Failure -> read.error.joinToString("\n")
        }
        is ControlCommand.GrantLease -> "leases are granted by the Lease call only"
        else -> null
    }

    private fun <A : Any> offer(event: ReplicaDutyEvent, observer: StreamObserver<A>, replyIfFull: A) {
        if (!replica.offer(event)) replyTo(observer)(replyIfFull)
    }

    private fun <A : Any> replyTo(observer: StreamObserver<A>): (A) -> Unit = { answer ->
        runCatching {
            observer.onNext(answer)
            observer.onCompleted()
        }
    }

    private companion object {
        val BUSY = SubmitReply.Refused("too many requests are waiting")
    }
}
