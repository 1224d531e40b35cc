package marigoldward.wire.rpc

import io.grpc.MethodDescriptor
import io.grpc.ServerServiceDefinition
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver

/** Builds a gRPC service from the handlers of its methods. */
public class ServiceBuilder private constructor(private val builder: ServerServiceDefinition.Builder) {
    /** Adds the unary [method], whose response [handler] returns. The handler may block. */
    public fun <Q : Any, A : Any> unary(method: MethodDescriptor<Q, A>, handler: (Q) -> A): ServiceBuilder {
        val call = ServerCalls.UnaryMethod<Q, A> { request, observer ->
            observer.onNext(handler(request))
            observer.onCompleted()
        }
        builder.addMethod(method, ServerCalls.asyncUnaryCall(call))
        return this
    }

    /** Adds the unary [method], whose response [handler] passes to the observer, possibly after it has returned. */
    public fun <Q : Any, A : Any> unaryAsync(
        method: MethodDescriptor<Q, A>,
        handler: (Q, StreamObserver<A>) -> Unit,
    ): ServiceBuilder {
        val call = ServerCalls.UnaryMethod<Q, A> { request, observer -> handler(request, observer) }
        builder.addMethod(method, ServerCalls.asyncUnaryCall(call))
        return this
    }

    /** Adds the server-streaming [method], whose responses [handler] passes to the observer until the call ends. */
    public fun <Q : Any, A : Any> serverStreaming(
        method: MethodDescriptor<Q, A>,
        handler: (Q, ServerCallStreamObserver<A>) -> Unit,
    ): ServiceBuilder {
        val call = ServerCalls.ServerStreamingMethod<Q, A> { request, observer ->
            handler(request, observer as ServerCallStreamObserver<A>)
        }
        builder.addMethod(method, ServerCalls.asyncServerStreamingCall(call))
        return this
    }

    public fun build(): ServerServiceDefinition = builder.build()

    public companion object {
        /** Returns a builder of the service called [name]. */
        public fun named(name: String): ServiceBuilder = ServiceBuilder(ServerServiceDefinition.builder(name))
    }
}
