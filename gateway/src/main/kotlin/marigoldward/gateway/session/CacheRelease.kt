package marigoldward.gateway.session

import marigoldward.core.dispatch.ListedUpstream
import marigoldward.gateway.message.AnswerHead
import marigoldward.gateway.upstream.UpstreamCall
import marigoldward.gateway.upstream.UpstreamFailure
import marigoldward.gateway.upstream.UpstreamListener
import marigoldward.support.log.EventLog

/** Frees a KV cache that nobody will take. One that is not reached frees itself after a while. */
internal object CacheRelease {
    private val log = EventLog.fromName("session")

    fun send(context: ServingContext, engine: ListedUpstream, handle: String) {
        val head = context.dialect.released(handle)
        context.pool.send(UpstreamCall(engine, head, ByteArray(0), null, needsFreshConnection = false, Ignored(engine)))
    }

    private class Ignored(private val engine: ListedUpstream) : UpstreamListener {
        override fun onHead(head: AnswerHead) = Unit

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
