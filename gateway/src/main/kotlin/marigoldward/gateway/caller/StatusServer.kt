package marigoldward.gateway.caller

import io.netty.channel.EventLoop
import marigoldward.core.routes.CallerLimits
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.ResponseHead
import marigoldward.support.program.ListenWait
import java.net.InetSocketAddress

/** Responds to every request at one address with the page that [currentPage] returns. */
internal class StatusServer(loop: EventLoop, memory: RequestMemory, private val currentPage: () -> Page) {
    /** An HTTP status and a text of the given content type. */
    data class Page(val status: Int, val contentType: String, val text: String)

    private val server = CallerServer(loop, { CallerLimits.DEFAULT }, memory, ::respond)

    /** Starts to listen at [address]; returns when the address is bound. */
    fun start(address: InetSocketAddress, wait: ListenWait) = server.start(address, wait)

    /** Accepts no more connections and closes those that are idle. */
    fun stop() {
        server.stopListening()
        server.isDraining = true
        server.closeIdle()
    }

    private fun respond(exchange: CallerExchange) {
        val page = currentPage()
        val head = ResponseHead(page.status, Headers.of("Content-Type" to page.contentType))
        exchange.respond(head, page.text.toByteArray())
    }
}
