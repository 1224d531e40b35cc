package marigoldward.gateway.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.UpstreamId
import marigoldward.gateway.Dialect
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.loggedTask
import marigoldward.support.settings.parseAddressOrNull
import marigoldward.support.time.MonotonicClock

/**
 * A pool of connections to all upstreams. Confined to the event loop thread.
 *
 * @param newChannel creates the channel of a connection; throws if the process has no descriptor left for it
 */
internal class UpstreamPool(
    private val loop: EventLoop,
    private val dialect: Dialect,
    newChannel: () -> UpstreamChannel = ::UpstreamChannel,
) {
    private val idle = HashMap<UpstreamId, ArrayDeque<UpstreamConnection>>()

    /** The upstreams whose last response to a request with an id bore none. */
    private val upstreamsWithoutIds = HashSet<UpstreamId>()

    /** Those that wait for the result of the probe in progress, for each upstream that has one. */
    private val probes = HashMap<UpstreamId, MutableList<(Boolean) -> Unit>>()

    /** When the latest probe of an upstream succeeded, in milliseconds of monotonic time. */
    private val reachedMillis = HashMap<UpstreamId, Long>()
    private val bootstrap =
        Bootstrap()
            .group(loop)
            .channelFactory(ChannelFactory { newChannel() })
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)

    /** Sends [call] over an idle connection that it may reuse, or over a new one if there is none. */
    fun send(call: UpstreamCall) {
        val connection = idleOrNull(call)
        if (connection == null) connect(call) else connection.send(call)
    }

    /**
     * Checks whether [upstream] still accepts connections, and passes to [onResult] whether it may do so: `true` too if
     * this process could not create a channel.
     *
     * An upstream gets one probe at a time, whose result goes to all that wait for it, and the next one
     * [PROBE_INTERVAL_MILLIS] after one that succeeded.
     */
    fun probe(upstream: ListedUpstream, onResult: (Boolean) -> Unit) {
        val pending = probes[upstream.id]
        val lastReachedMillis = reachedMillis[upstream.id]
        when {
            pending != null -> pending += onResult
            lastReachedMillis != null && MonotonicClock.nowMillis() - lastReachedMillis < PROBE_INTERVAL_MILLIS ->
                onResult(true)
            else -> startProbe(upstream, onResult)
        }
    }

    private fun startProbe(upstream: ListedUpstream, onResult: (Boolean) -> Unit) {
        val address = parseAddressOrNull(upstream.address) ?: return onResult(false)
        probes[upstream.id] = mutableListOf(onResult)
        GatewayMetrics.connectionsOpened.inc()
        val connectFuture = bootstrap.clone().handler(Initializer(upstream.id)).connect(address)
        onLoopWhenDone(connectFuture) {
            if (connectFuture.isSuccess) {
                reachedMillis[upstream.id] = MonotonicClock.nowMillis()
                keepIfOnly(upstream.id, connectFuture.channel().pipeline().get(UpstreamConnection::class.java))
            } else {
                reachedMillis.remove(upstream.id)
            }
            val mayBeReachable = connectFuture.isSuccess || connectFuture.channel() !is UpstreamChannel
            probes.remove(upstream.id).orEmpty().forEach { loggedTask { it(mayBeReachable) }.run() }
        }
    }

    private fun keepIfOnly(id: UpstreamId, connection: UpstreamConnection) {
        if (idle[id].isNullOrEmpty()) addIdle(id, connection) else connection.close()
    }

    /**
     * Closes the idle connections that upstreams are about to close, and those to upstreams that get no more requests.
     */
    fun closeExpired(acceptsRequests: (UpstreamId) -> Boolean) {
        val nowMillis = MonotonicClock.nowMillis()
        upstreamsWithoutIds.removeIf { !acceptsRequests(it) }
        reachedMillis.keys.removeIf { !acceptsRequests(it) }
        idle.entries.removeIf { (id, connections) ->
            val expired = connections.filter { !acceptsRequests(id) || !isUsable(it, nowMillis, MAX_IDLE_MILLIS) }
            expired.forEach { connection ->
                connections.remove(connection)
                connection.close()
            }
            connections.isEmpty()
        }
    }

    /** Closes the idle connections to [id], which may no longer work. */
    fun closeIdle(id: UpstreamId) {
        idle.remove(id)?.forEach(UpstreamConnection::close)
    }

    /** Closes the idle connections to [id] and forgets what it has shown, as it has started again. */
    fun forget(id: UpstreamId) {
        closeIdle(id)
        upstreamsWithoutIds.remove(id)
        reachedMillis.remove(id)
    }

    private fun idleOrNull(call: UpstreamCall): UpstreamConnection? {
        val connections = idle[call.upstream.id] ?: return null
        val nowMillis = MonotonicClock.nowMillis()
        val maxIdleMillis = when (call.reuse) {
            UpstreamCall.ConnectionReuse.ANY -> MAX_IDLE_MILLIS
            UpstreamCall.ConnectionReuse.RECENTLY_USED -> MAX_FRESH_IDLE_MILLIS
            UpstreamCall.ConnectionReuse.NONE -> return null
        }
        val isIdCertain = call.upstream.id !in upstreamsWithoutIds
        val newestFirst = connections.listIterator(connections.size)
        while (newestFirst.hasPrevious()) {
            val candidate = newestFirst.previous()
            if (!isUsable(candidate, nowMillis, maxIdleMillis)) {
                newestFirst.remove()
                candidate.close()
            } else if (candidate.canAttribute(call, isIdCertain)) {
                newestFirst.remove()
                return candidate
            }
        }
        return null
    }

    private fun isUsable(connection: UpstreamConnection, nowMillis: Long, maxIdleMillis: Long): Boolean {
        val upstreamLimitMillis = connection.keepAliveMillis?.let { it - CLOSE_MARGIN_MILLIS } ?: maxIdleMillis
        return connection.isOpen && nowMillis - connection.idleSinceMillis < minOf(upstreamLimitMillis, maxIdleMillis)
    }

    private fun connect(call: UpstreamCall) {
        val address = parseAddressOrNull(call.upstream.address)
        if (address == null) {
            call.listener.onFailure(UpstreamFailure.Unreachable("\"${call.upstream.address}\" is no address"))
            return
        }
        GatewayMetrics.connectionsOpened.inc()
        val connectFuture = bootstrap.clone().handler(Initializer(call.upstream.id)).connect(address)
        onLoopWhenDone(connectFuture) {
            when {
                !connectFuture.isSuccess -> reportUnreachable(call, connectFuture.cause())
                call.isCancelled -> connectFuture.channel().close()
                else -> connectFuture.channel().pipeline().get(UpstreamConnection::class.java).send(call)
            }
        }
    }

    /** Runs [action] on the event loop thread; Netty reports from another one that a channel could not be created. */
    private fun onLoopWhenDone(connectFuture: ChannelFuture, action: () -> Unit) {
        connectFuture.addListener { if (loop.inEventLoop()) action() else loop.execute(loggedTask(action)) }
    }

    private fun reportUnreachable(call: UpstreamCall, cause: Throwable?) {
        if (call.isCancelled) return
        call.listener.onFailure(UpstreamFailure.Unreachable(cause?.message ?: "no connection"))
    }

    private fun addIdle(id: UpstreamId, connection: UpstreamConnection) {
        connection.idleSinceMillis = MonotonicClock.nowMillis()
        idle.getOrPut(id) { ArrayDeque() }.addLast(connection)
    }

    private inner class Initializer(private val id: UpstreamId) :
        ChannelInitializer<UpstreamChannel>(),
        UpstreamConnection.Owner {
        override fun initChannel(channel: UpstreamChannel) {
            val sent = SentRequests(dialect)
            val decoder = ResponseDecoder(sent)
            channel.pipeline().addLast(decoder, UpstreamConnection(id, channel, sent, decoder, owner = this))
        }

        override fun onIdle(connection: UpstreamConnection) = addIdle(id, connection)

        override fun onClosed(connection: UpstreamConnection) {
            idle[id]?.remove(connection)
        }

        override fun onResponse(bearsRequestId: Boolean) {
            if (bearsRequestId) upstreamsWithoutIds.remove(id) else upstreamsWithoutIds.add(id)
        }
    }

    companion object {
        /** How long a waiting request takes an upstream that was reached for reachable, in milliseconds. */
        const val PROBE_INTERVAL_MILLIS: Long = 800

        /** Data centres are a few milliseconds apart, so a connection that takes longer has lost its first packet. */
        private const val CONNECT_TIMEOUT_MILLIS = 300

        /** How long an idle connection is kept if the upstream announces no time-out or a longer one. */
        private const val MAX_IDLE_MILLIS = 8_000L

        /** As [MAX_IDLE_MILLIS], for a connection that is to carry a request that must not be sent twice. */
        private const val MAX_FRESH_IDLE_MILLIS = 3_000L

        /** How long before its announced time-out a connection is no longer used. */
        private const val CLOSE_MARGIN_MILLIS = 1_000L
    }
}
