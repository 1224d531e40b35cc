package marigoldward.gateway.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.ServerChannelRecvByteBufAllocator
import marigoldward.core.routes.CallerLimits
import marigoldward.support.program.ListenAddress
import marigoldward.support.program.ListenWait
import java.net.InetSocketAddress

/**
 * Accepts connections of callers. Confined to the event loop thread, except for [start].
 *
 * @param currentLimits returns the limits in force
 * @param memory bounds the bodies of the requests that are held
 * @param handle called with each complete request
 */
internal class CallerServer(
    private val loop: EventLoop,
    private val currentLimits: () -> CallerLimits,
    val memory: RequestMemory,
    val handle: (CallerExchange) -> Unit,
) {
    /** The requests that were received and not started yet. */
    val startQueue: StartQueue = StartQueue(loop)
    private val connections = LinkedHashSet<CallerConnection>()
    private var listenChannel: Channel? = null

    /** The limits in force. */
    val limits: CallerLimits get() = currentLimits()

    /** Whether connections are closed after the next response that is sent whole, or once they are idle. */
    var isDraining: Boolean = false

    /** Whether any connection is not idle, or a request is probably on its way. */
    val isBusy: Boolean get() = connections.any { !it.isIdle || it.isAwaitingRequest }

    /** Whether any connection is not idle. */
    val isAnswering: Boolean get() = connections.any { !it.isIdle }

    /** The port that the server listens on. */
    val port: Int get() = (checkNotNull(listenChannel) { "not started" }.localAddress() as InetSocketAddress).port

    /** Starts to listen at [address]; returns when the address is bound. */
    fun start(address: InetSocketAddress, wait: ListenWait = ListenWait.Bounded()) {
        val bootstrap =
            ServerBootstrap()
                .group(loop)
                .channelFactory(ChannelFactory { BoundedServerChannel(memory::mayAccept) })
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, acceptToTheEnd())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readToTheEnd())
                .childHandler(Initializer())
        listenChannel = ListenAddress.bindWhenFree(address, wait) { bootstrap.bind(address).sync().channel() }
    }

    /** Accepts no more connections. */
    fun stopListening() {
        listenChannel?.close()
    }

    /** Closes the idle connections, but for those on which a request is probably on its way. */
    fun closeIdle() {
        connections.toList().forEach(CallerConnection::closeIfIdle)
    }

    /** Refuses the requests that are still being received, as not run. */
    fun refuseIncomplete() {
        connections.toList().forEach(CallerConnection::refuseIncomplete)
    }

    /** Resets all connections, as the end of the process does. */
    fun resetAll() {
        connections.toList().forEach(CallerConnection::reset)
    }

    fun addConnection(connection: CallerConnection) {
        memory.add(connection)
        connections.add(connection)
    }

    fun removeConnection(connection: CallerConnection) {
        connections.remove(connection)
        memory.remove(connection)
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val connection = CallerConnection(this@CallerServer)
            val decoder = RequestDecoder(limits, memory, connection::isDecodingPaused)
            connection.decoder = decoder
            channel.pipeline().addLast(ReceiveNotifier(connection), decoder, connection)
        }
    }

    private inner class ReceiveNotifier(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val decoder = connection.decoder
            if (decoder.limits != limits && connection.isBetweenRequests && !decoder.isWithinRequest) {
                val next = RequestDecoder(limits, memory, connection::isDecodingPaused)
                context.pipeline().replace(decoder, null, next)
                connection.decoder = next
            }
            connection.onBytesReceived()
            context.fireChannelRead(message)
        }
    }

    private companion object {
        /** Lets one event take all connections that wait, so that none is left when the listening socket is closed. */
        fun acceptToTheEnd(): RecvByteBufAllocator =
            ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG_CONNECTIONS)

        /** Lets one read event take all that has come, so that a close behind a request is known when that starts. */
        fun readToTheEnd(): RecvByteBufAllocator =
            AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_EVENT)

        /** Bounds how long one connection with much to read holds up the others. */
        const val MAX_READS_PER_EVENT = 16

        /** Large enough that no connection request is dropped when many callers connect at once. */
        const val BACKLOG_CONNECTIONS = 1_024
    }
}
