package marigoldward.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.ConnectException
import java.net.SocketAddress

/** A connection to an upstream that tells an orderly end of what the upstream sends from any other end. */
internal class UpstreamChannel : NioSocketChannel() {
    /**
     * Whether the upstream has closed its side and everything before that was read.
     *
     * Stays `false` if the connection is reset: a reset that a write meets closes the channel like an orderly end does,
     * without an exception in the pipeline.
     */
    var hasReachedEnd: Boolean = false
        private set

    init {
        // The system may give the connection the port of a process that is being restarted.
        config().isReuseAddress = true
    }

    override fun doConnect(remoteAddress: SocketAddress, localAddress: SocketAddress?): Boolean =
        super.doConnect(remoteAddress, localAddress).also { isConnected -> if (isConnected) checkNotConnectedToSelf() }

    override fun doFinishConnect() {
        super.doFinishConnect()
        checkNotConnectedToSelf()
    }

    /** Refuses the connection to itself that the system may open if nothing listens at the address of the upstream. */
    private fun checkNotConnectedToSelf() {
        val address = javaChannel().remoteAddress
        if (javaChannel().localAddress != address) return
        javaChannel().close()
        throw ConnectException("$address is connected to itself")
    }

    override fun doReadBytes(buffer: ByteBuf): Int {
        val readBytes = super.doReadBytes(buffer)
        if (readBytes < 0) hasReachedEnd = true
        return readBytes
    }
}
