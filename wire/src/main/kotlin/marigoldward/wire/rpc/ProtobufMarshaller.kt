package marigoldward.wire.rpc

import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.StatusRuntimeException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import java.io.ByteArrayInputStream
import java.io.InputStream

/** Encodes and decodes gRPC messages as Protocol Buffers with a kotlinx.serialization [serializer]. */
@OptIn(ExperimentalSerializationApi::class)
internal class ProtobufMarshaller<T : Any>(private val serializer: KSerializer<T>) : MethodDescriptor.Marshaller<T> {
    override fun stream(value: T): InputStream = ByteArrayInputStream(ProtoBuf.encodeToByteArray(serializer, value))

    /**
     * Returns the message in [stream].
     *
     * @throws StatusRuntimeException if it cannot be decoded, whether because it is malformed, has values that its class
     *   refuses, or is nested more deeply than the stack of the thread allows
     */
    override fun parse(stream: InputStream): T = try {
        ProtoBuf.decodeFromByteArray(serializer, stream.readBytes())
    } catch (failure: RuntimeException) {
        throw undecodable(failure)
    } catch (failure: StackOverflowError) {
        throw undecodable(failure)
    }

    private fun undecodable(failure: Throwable): StatusRuntimeException = Status.INVALID_ARGUMENT
        .withDescription("the message cannot be decoded: ${(failure.message ?: "$failure").take(MAX_REASON_CHARS)}")
        .asRuntimeException()

    private companion object {
        const val MAX_REASON_CHARS = 200
    }
}
