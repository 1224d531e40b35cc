package marigoldward.gateway.session

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.gateway.message.ResponseHead
import marigoldward.gateway.upstream.UpstreamCall
import marigoldward.gateway.upstream.UpstreamFailure
import marigoldward.gateway.upstream.UpstreamListener
import marigoldward.support.log.EventLog

/**
 * Asks an engine to free a KV cache that no other engine will fetch. A failure is only logged, as the engine frees the
 * cache by itself after some time.
 */
internal object CacheRelease {
    private val log = EventLog.fromName("session")

    fun send(context: SessionContext, engine: ListedUpstream, handle: String) {
        val head = context.dialect.cacheReleaseRequest(handle)
        val listener = ReleaseListener(context, engine)
        context.pool.send(UpstreamCall(engine, head, ByteArray(0), null, UpstreamCall.ConnectionReuse.ANY, listener))
    }

    private class ReleaseListener(private val context: SessionContext, private val engine: ListedUpstream) :
        UpstreamListener {
        override fun onHead(head: ResponseHead) = context.recordAnnouncement(engine, context.dialect.readResponse(head))

        override fun onData(data: ByteArray) = Unit

        override fun onEnd() = Unit

        override fun onFailure(failure: UpstreamFailure) {
            log.info("cache_not_released") {
                field("upstream", engine.id)
                field("reason", failure)
            }
        }
    }
}
