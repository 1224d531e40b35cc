package marigoldward.gateway.session

import marigoldward.gateway.Dialect
import marigoldward.gateway.message.ResponseHead
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

    override fun onData(data: ByteArray) = receivedBody.writeBytes(data)
}
