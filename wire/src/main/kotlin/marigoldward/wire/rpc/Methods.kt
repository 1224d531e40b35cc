package marigoldward.wire.rpc

import io.grpc.MethodDescriptor
import kotlinx.serialization.KSerializer

/** Returns the descriptor of the unary method [name] of [service]. */
internal fun <Q : Any, A : Any> unaryMethod(
    service: String,
    name: String,
    request: KSerializer<Q>,
    response: KSerializer<A>,
): MethodDescriptor<Q, A> = methodDescriptor(MethodDescriptor.MethodType.UNARY, service, name, request, response)

/** Returns the descriptor of the server-streaming method [name] of [service]. */
internal fun <Q : Any, A : Any> serverStreamingMethod(
    service: String,
    name: String,
    request: KSerializer<Q>,
    response: KSerializer<A>,
): MethodDescriptor<Q, A> =
    methodDescriptor(MethodDescriptor.MethodType.SERVER_STREAMING, service, name, request, response)

private fun <Q : Any, A : Any> methodDescriptor(
    type: MethodDescriptor.MethodType,
    service: String,
    name: String,
    request: KSerializer<Q>,
    response: KSerializer<A>,
): MethodDescriptor<Q, A> = MethodDescriptor
    .newBuilder<Q, A>()
    .setType(type)
    .setFullMethodName(MethodDescriptor.generateFullMethodName(service, name))
    .setRequestMarshaller(ProtobufMarshaller(request))
    .setResponseMarshaller(ProtobufMarshaller(response))
    .build()
