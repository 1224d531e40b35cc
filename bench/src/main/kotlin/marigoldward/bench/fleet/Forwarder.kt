package marigoldward.bench.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

/** A TCP forwarder whose connections can be held back in silence, in either direction, delayed or reset. */
internal class Forwarder(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private val lock = Object()

    @Volatile
    private var state = LinkState.OPEN

    val port: Int get() = server.localPort

    init {
        thread("forward-accept") { accept() }
    }

    fun change(state: LinkState) {
        synchronized(lock) {
            this.state = state
            lock.notifyAll()
        }
    }

    /** Resets all connections that are open now. */
    fun reset() {
        sockets.forEach { socket ->
            runCatching {
                socket.setSoLinger(true, 0)
                socket.close()
            }
        }
    }

    override fun close() {
        server.close()
        change(LinkState.OPEN)
        sockets.forEach { runCatching { it.close() } }
    }

    private fun accept() {
        while (!server.isClosed) {
            val client =
                try {
                    server.accept()
                } catch (_: IOException) {
                    return
                }
            sockets.add(client)
            thread("forward-connect") { connect(client) }
        }
    }

    private fun connect(client: Socket) {
        pass { it.isUpHeld }
        try {
            val target = Socket()
            target.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), CONNECT_MILLIS)
            sockets.add(target)
            thread("forward-up") { copy(client, target) { it.isUpHeld } }
            thread("forward-down") { copy(target, client) { it.isDownHeld } }
        } catch (_: IOException) {
            client.close()
        }
    }

    private fun copy(from: Socket, to: Socket, isHeld: (LinkState) -> Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                pass(isHeld)
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One side is gone; the other is closed below.
        }
        from.close()
        to.close()
        sockets.remove(from)
        sockets.remove(to)
    }

    /** Returns once the next piece may pass. */
    private fun pass(isHeld: (LinkState) -> Boolean) {
        val delayMillis = state.delayMillis
        if (delayMillis > 0) Thread.sleep(delayMillis)
        synchronized(lock) { while (isHeld(state)) lock.wait() }
    }

    private fun thread(name: String, work: () -> Unit) {
        Thread(work, name).apply { isDaemon = true }.start()
    }

    private companion object {
        const val BACKLOG = 64
        const val CONNECT_MILLIS = 2_000
        const val BUFFER_BYTES = 65_536
    }
}
