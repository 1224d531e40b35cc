package marigoldward.wire.rpc

import io.grpc.CallOptions
import io.grpc.ClientInterceptors
import io.grpc.InsecureChannelCredentials
import io.grpc.ManagedChannel
import io.grpc.MethodDescriptor
import io.grpc.StatusRuntimeException
import io.grpc.okhttp.OkHttpChannelBuilder
import io.grpc.stub.ClientCalls
import io.grpc.stub.MetadataUtils
import io.grpc.stub.StreamObserver
import marigoldward.core.Outcome
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** A gRPC connection to one other process of the system. */
public class RpcClient private constructor(
    private val managedChannel: ManagedChannel,
    private val identity: ClusterIdentity,
) : AutoCloseable {
    private val channel =
        ClientInterceptors.intercept(managedChannel, MetadataUtils.newAttachHeadersInterceptor(identity.toMetadata()))

    /** Calls [method] and waits for the response for at most [timeoutMillis] milliseconds. */
    public fun <Q : Any, A : Any> call(
        method: MethodDescriptor<Q, A>,
        request: Q,
        timeoutMillis: Long,
    ): Outcome<A, RpcFailure> = try {
        Outcome.Success(ClientCalls.blockingUnaryCall(channel, method, withDeadline(timeoutMillis), request))
    } catch (failure: StatusRuntimeException) {
        Outcome.Failure(RpcFailure.fromStatus(failure.status))
    }

    /** Calls [method] without blocking. [observer] receives the response or the failure. */
    public fun <Q : Any, A : Any> callAsync(
        method: MethodDescriptor<Q, A>,
        request: Q,
        timeoutMillis: Long,
        observer: StreamObserver<A>,
    ) {
        ClientCalls.asyncUnaryCall(channel.newCall(method, withDeadline(timeoutMillis)), request, observer)
    }

    /** Opens a stream of responses without a deadline. */
    public fun <Q : Any, A : Any> openStream(method: MethodDescriptor<Q, A>, request: Q, observer: StreamObserver<A>) {
        ClientCalls.asyncServerStreamingCall(channel.newCall(method, CallOptions.DEFAULT), request, observer)
    }

    override fun close() {
        managedChannel.shutdownNow()
    }

    private fun withDeadline(timeoutMillis: Long): CallOptions =
        CallOptions.DEFAULT.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)

    public companion object {
        private const val KEEP_ALIVE_SECONDS = 3L
        private const val CONNECT_TIMEOUT_MILLIS = 3_000

        /** Returns a client of the process at [address]; it connects at the first call. */
        public fun to(address: InetSocketAddress, identity: ClusterIdentity): RpcClient {
            val managedChannel =
                OkHttpChannelBuilder
                    .forAddress(address.hostString, address.port, InsecureChannelCredentials.create())
                    .maxInboundMessageSize(RpcLimits.MAX_MESSAGE_BYTES)
                    .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                    .keepAliveTimeout(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                    .socketFactory(TimedSocketFactory(CONNECT_TIMEOUT_MILLIS))
                    .disableRetry()
                    .build()
            return RpcClient(managedChannel, identity)
        }
    }
}
