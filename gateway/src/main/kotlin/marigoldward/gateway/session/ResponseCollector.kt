package marigoldward.gateway.session

import io.netty.handler.codec.TooLongFrameException
import marigoldward.gateway.Dialect
import marigoldward.gateway.message.ResponseHead
import marigoldward.gateway.upstream.ResponseLimits
import java.io.ByteArrayOutputStream

/** Collects the head and the body of an upstream's response. */
internal abstract class ResponseCollector : UpstreamAttempt.Listener {
    protected lateinit var head: ResponseHead
        private set
    protected lateinit var metadata: Dialect.ResponseMetadata
        private set
    private val receivedBody = ByteArrayOutputStream()

    /** The part of the body that was received so far. */
    protected val body: ByteArray get() = receivedBody.toByteArray()

    override fun onHead(head: ResponseHead, metadata: Dialect.ResponseMetadata) {
        this.head = head
        this.metadata = metadata
    }

    /** @throws TooLongFrameException if the body is longer than [ResponseLimits.MAX_BODY_BYTES] */
    override fun onData(data: ByteArray) {
        if (receivedBody.size() + data.size > ResponseLimits.MAX_BODY_BYTES) {
            throw TooLongFrameException("the body is longer than ${ResponseLimits.MAX_BODY_BYTES} bytes")
        }
        receivedBody.writeBytes(data)
    }
}
