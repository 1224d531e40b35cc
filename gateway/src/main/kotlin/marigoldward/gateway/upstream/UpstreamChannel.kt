package marigoldward.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.socket.nio.NioSocketChannel

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

    override fun doReadBytes(buffer: ByteBuf): Int {
        val readBytes = super.doReadBytes(buffer)
        if (readBytes < 0) hasReachedEnd = true
        return readBytes
    }
}
