package marigoldward.support.http

import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.AttachmentKey
import io.undertow.util.Headers
import org.http4k.core.Status
import org.xnio.IoUtils

/**
 * Receives request bodies without a worker thread, so that slow callers do not keep these from others, and passes each
 * request on once its body is complete. Refuses a body for which [budget] has no room.
 *
 * @param maxBodyBytes the size of the largest body that is accepted
 * @param next handles requests, whose body, if they have one, is attached as [BODY]
 */
internal class BodyCollector(
    private val budget: BodyBudget,
    private val maxBodyBytes: Long,
    private val next: HttpHandler,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        val lengthBytes = exchange.requestContentLength
        if (exchange.isRequestComplete) return next.handleRequest(exchange)
        if (lengthBytes > maxBodyBytes) {
            return refuse(exchange, Status.REQUEST_ENTITY_TOO_LARGE, "the body is larger than $maxBodyBytes bytes")
        }
        // The length of a body in chunks is not known before its end.
        val share = budget.openOrNull(if (lengthBytes >= 0) lengthBytes else maxBodyBytes) {
            IoUtils.safeClose(exchange.connection)
        } ?: return refuse(exchange, Status.SERVICE_UNAVAILABLE, "other requests take the memory for bodies")
        exchange.addExchangeCompleteListener { _, following ->
            share.close()
            following.proceed()
        }
        exchange.requestReceiver.receiveFullBytes(
            { received, body ->
                share.markReceived()
                received.putAttachment(BODY, body)
                received.dispatch(next)
            },
            { failed, _ -> IoUtils.safeClose(failed.connection) },
        )
    }

    private fun refuse(exchange: HttpServerExchange, status: Status, reason: String) {
        exchange.statusCode = status.code
        exchange.setPersistent(false)
        if (status == Status.SERVICE_UNAVAILABLE) exchange.responseHeaders.put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS)
        exchange.responseSender.send("$reason\n")
    }

    companion object {
        /** The body of a request that was received completely. */
        val BODY: AttachmentKey<ByteArray> = AttachmentKey.create(ByteArray::class.java)
        private const val RETRY_AFTER_SECONDS = 1L
    }
}
