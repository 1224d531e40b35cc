package marigoldward.gateway.caller

import io.netty.channel.EventLoop
import marigoldward.core.routes.CallerLimits
import marigoldward.gateway.message.AnswerHead
import marigoldward.gateway.message.Headers
import java.net.InetSocketAddress

/** Answers every request at one address with what [page] returns. */
internal class StatusServer(loop: EventLoop, private val page: () -> Page) {
    /** A status and a text. */
    data class Page(val status: Int, val contentType: String, val text: String)

    private val server = CallerServer(loop, { CallerLimits.DEFAULT }, ::answer)

    /** Listens at [address]; waits until it does. */
    fun start(address: InetSocketAddress) = server.start(address)

    private fun answer(exchange: CallerExchange) {
        val current = page()
        val head = AnswerHead(current.status, Headers.of("Content-Type" to current.contentType))
        exchange.answer(head, current.text.toByteArray())
    }
}
