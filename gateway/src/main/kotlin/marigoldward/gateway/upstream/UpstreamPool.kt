package marigoldward.gateway.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.Dialect
import marigoldward.gateway.GatewayMetrics
import marigoldward.support.settings.parseAddressOrNull
import marigoldward.support.time.MonotonicClock

/** The connections to all upstreams. Used by the loop's thread only. */
internal class UpstreamPool(private val loop: EventLoop, private val dialect: Dialect) {
    private val idle = HashMap<UpstreamId, ArrayDeque<UpstreamConnection>>()
    private val bootstrap =
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)

    /** Sends [call] over an idle connection, or a new one. */
    fun send(call: UpstreamCall) {
        val connection = idleOrNull(call)
        if (connection == null) connect(call) else connection.carry(call)
    }

    /** Opens a connection to [upstream], which is kept for later calls; [onResult] is told whether that worked. */
    fun probe(upstream: ListedUpstream, onResult: (Boolean) -> Unit) {
        val address = parseAddressOrNull(upstream.address) ?: return onResult(false)
        GatewayMetrics.connections.inc()
        val opened = bootstrap.clone().handler(Initializer(upstream.id, AnswerDecoder())).connect(address)
        opened.addListener {
            if (opened.isSuccess) {
                becameIdle(upstream.id, opened.channel().pipeline().get(UpstreamConnection::class.java))
            }
            onResult(opened.isSuccess)
        }
    }

    /** Closes the connections that the upstream will soon close, and those to upstreams that are not listed. */
    fun closeOld(isListed: (UpstreamId) -> Boolean) {
        val nowMillis = MonotonicClock.nowMillis()
        idle.entries.removeIf { (id, connections) ->
            val old = connections.filter { !isListed(id) || !isUsable(it, nowMillis, DEFAULT_IDLE_MILLIS) }
            old.forEach { connection ->
                connections.remove(connection)
                connection.close()
            }
            connections.isEmpty()
        }
    }

    /** Closes the idle connections to [id]; they may have gone silent. */
    fun closeIdle(id: UpstreamId) {
        idle.remove(id)?.forEach(UpstreamConnection::close)
    }

    private fun idleOrNull(call: UpstreamCall): UpstreamConnection? {
        val connections = idle[call.upstream.id] ?: return null
        val nowMillis = MonotonicClock.nowMillis()
        val limitMillis = if (call.needsFreshConnection) FRESH_IDLE_MILLIS else DEFAULT_IDLE_MILLIS
        while (connections.isNotEmpty()) {
            val newest = connections.removeLast()
            if (isUsable(newest, nowMillis, limitMillis)) return newest
            newest.close()
        }
        return null
    }

    private fun isUsable(connection: UpstreamConnection, nowMillis: Long, limitMillis: Long): Boolean {
        val keptMillis = connection.keepAliveMillis?.let { it - CLOSE_MARGIN_MILLIS } ?: limitMillis
        return connection.isOpen && nowMillis - connection.idleSinceMillis < minOf(keptMillis, limitMillis)
    }

    private fun connect(call: UpstreamCall) {
        val address = parseAddressOrNull(call.upstream.address)
        if (address == null) {
            call.listener.onFailure(UpstreamFailure.Unreachable("\"${call.upstream.address}\" is no address"))
            return
        }
        GatewayMetrics.connections.inc()
        val decoder = AnswerDecoder()
        val opened = bootstrap.clone().handler(Initializer(call.upstream.id, decoder)).connect(address)
        opened.addListener {
            when {
                !opened.isSuccess -> unreachable(call, opened.cause())
                call.isCancelled -> opened.channel().close()
                else -> opened.channel().pipeline().get(UpstreamConnection::class.java).carry(call)
            }
        }
    }

    private fun unreachable(call: UpstreamCall, cause: Throwable?) {
        if (call.isCancelled) return
        call.listener.onFailure(UpstreamFailure.Unreachable(cause?.message ?: "no connection"))
    }

    private fun becameIdle(id: UpstreamId, connection: UpstreamConnection) {
        connection.idleSinceMillis = MonotonicClock.nowMillis()
        idle.getOrPut(id) { ArrayDeque() }.addLast(connection)
    }

    private inner class Initializer(private val id: UpstreamId, private val decoder: AnswerDecoder) :
        ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val connection =
                UpstreamConnection(
                    channel = channel,
                    decoder = decoder,
                    dialect = dialect,
                    onIdle = { becameIdle(id, it) },
                    onClosed = { idle[id]?.remove(it) },
                )
            channel.pipeline().addLast(decoder, connection)
        }
    }

    private companion object {
        /** A connection that takes longer has lost its first packet, in milliseconds; data centres are a few apart. */
        const val CONNECT_MILLIS = 300

        /** How long an idle connection is kept to an upstream that does not say how long it keeps it. */
        const val DEFAULT_IDLE_MILLIS = 8_000L

        /** How long a connection may have been idle that carries what must not be sent twice, in milliseconds. */
        const val FRESH_IDLE_MILLIS = 3_000L

        /** How long before the upstream closes a connection it is no longer used, in milliseconds. */
        const val CLOSE_MARGIN_MILLIS = 1_000L
    }
}
