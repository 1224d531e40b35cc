package marigoldward.gateway.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import marigoldward.core.routes.CallerLimits
import java.net.InetSocketAddress

/**
 * Takes callers' connections. Used by the loop's thread only, but for [start].
 *
 * @param currentLimits the limits in force
 * @param handle called with each whole request
 */
internal class CallerServer(
    private val loop: EventLoop,
    private val currentLimits: () -> CallerLimits,
    val handle: (CallerExchange) -> Unit,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var listening: Channel? = null

    /** The limits in force. */
    val limits: CallerLimits get() = currentLimits()

    /** Whether each answer closes its connection. */
    var isDraining: Boolean = false

    /** Whether a request is under way on some connection. */
    val isBusy: Boolean get() = connections.any { !it.isIdle }

    /** The port that it listens on. */
    val port: Int get() = (checkNotNull(listening) { "not started" }.localAddress() as InetSocketAddress).port

    /** Listens at [address]; waits until it does. */
    fun start(address: InetSocketAddress) {
        val bootstrap =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(Initializer())
        listening = bootstrap.bind(address).sync().channel()
    }

    /** Takes no more connections. */
    fun stopListening() {
        listening?.close()
    }

    /** Closes the connections on which no request is under way. */
    fun closeIdle() {
        connections.toList().forEach(CallerConnection::closeIfIdle)
    }

    fun opened(connection: CallerConnection) {
        connections.add(connection)
    }

    fun closed(connection: CallerConnection) {
        connections.remove(connection)
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val connection = CallerConnection(this@CallerServer)
            channel.pipeline().addLast(Arrivals(connection), RequestDecoder(limits), connection)
        }
    }

    private class Arrivals(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            connection.bytesCame()
            context.fireChannelRead(message)
        }
    }

    private companion object {
        /** Connections that wait to be taken; a burst of callers must not lose its first packets. */
        const val BACKLOG_CONNECTIONS = 1_024
    }
}
