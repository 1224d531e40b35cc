package marigoldward.gateway.caller

import io.netty.channel.Channel
import io.netty.channel.socket.nio.NioServerSocketChannel

/**
 * A listening socket that closes connections right after it has accepted them if there are too many. One event may accept
 * hundreds, which would take all descriptors of the process before the first of them is looked at.
 *
 * @param mayAccept returns whether one more connection may be open besides the given number that this event has accepted
 */
internal class BoundedServerChannel(private val mayAccept: (Int) -> Boolean) : NioServerSocketChannel() {
    override fun doReadMessages(accepted: MutableList<Any>): Int {
        val count = super.doReadMessages(accepted)
        if (count <= 0 || mayAccept(accepted.size - 1)) return count
        (accepted.removeAt(accepted.size - 1) as Channel).unsafe().closeForcibly()
        // Ends this event; the socket is still ready if more connections wait.
        return 0
    }
}
