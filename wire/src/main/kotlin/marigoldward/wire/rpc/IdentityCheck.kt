package marigoldward.wire.rpc

import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.Status
import io.prometheus.metrics.core.metrics.Counter
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.atomic.AtomicLong

/** Refuses calls without this cluster's [ClusterIdentity]. Counts them and logs one per [LOG_PERIOD_MILLIS]. */
internal class IdentityCheck(private val identity: ClusterIdentity) : ServerInterceptor {
    private val lastLoggedMillis = AtomicLong(MonotonicClock.nowMillis() - LOG_PERIOD_MILLIS)

    override fun <Q : Any, A : Any> interceptCall(
        call: ServerCall<Q, A>,
        headers: Metadata,
        next: ServerCallHandler<Q, A>,
    ): ServerCall.Listener<Q> {
        val refusal = identity.refusalOrNull(headers) ?: return next.startCall(call, headers)
        refusedCalls.inc()
        logAtLimitedRate(call, refusal)
        call.close(Status.PERMISSION_DENIED.withDescription(refusal), Metadata())
        return object : ServerCall.Listener<Q>() {}
    }

    private fun logAtLimitedRate(call: ServerCall<*, *>, refusal: String) {
        val nowMillis = MonotonicClock.nowMillis()
        val lastMillis = lastLoggedMillis.get()
        if (nowMillis - lastMillis < LOG_PERIOD_MILLIS || !lastLoggedMillis.compareAndSet(lastMillis, nowMillis)) return
        log.warn("call_refused") {
            field("method", call.methodDescriptor.fullMethodName)
            field("reason", refusal)
        }
    }

    private companion object {
        const val LOG_PERIOD_MILLIS = 10_000L
        val log = EventLog.fromName("rpc")
        val refusedCalls: Counter =
            Counter
                .builder()
                .name("marigoldward_rpc_refused_total")
                .help("Calls of a wrong key, cluster or protocol version")
                .register()
    }
}
