package marigoldward.wire.rpc

import io.grpc.MethodDescriptor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import java.io.ByteArrayInputStream
import java.io.InputStream

/** Encodes and decodes gRPC messages as Protocol Buffers with a kotlinx.serialization [serializer]. */
@OptIn(ExperimentalSerializationApi::class)
internal class ProtobufMarshaller<T : Any>(private val serializer: KSerializer<T>) : MethodDescriptor.Marshaller<T> {
    override fun stream(value: T): InputStream = ByteArrayInputStream(ProtoBuf.encodeToByteArray(serializer, value))

    override fun parse(stream: InputStream): T = try {
        ProtoBuf.decodeFromByteArray(serializer, stream.readBytes())
    } catch (failure: SerializationException) {
        throw io.grpc.Status.INVALID_ARGUMENT
            .withDescription("the message cannot be decoded: ${failure.message}")
            .asRuntimeException()
    }
}
