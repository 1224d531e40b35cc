package marigoldward.bench.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

/** A TCP forwarder that can hold back data in either direction without closing connections, delay or reset them. */
internal class Forwarder(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private val lock = Object()

    @Volatile
    private var state = LinkState.OPEN

    val port: Int get() = server.localPort

    init {
        startThread("forward-accept") { acceptClients() }
    }

    fun setState(state: LinkState) {
        synchronized(lock) {
            this.state = state
            lock.notifyAll()
        }
    }

    /** Resets all open connections. */
    fun reset() {
        // The end of one half makes the copying threads close the other, which must be a reset by then.
        val open = sockets.toList()
        open.forEach { runCatching { it.setSoLinger(true, 0) } }
        open.forEach { runCatching { it.close() } }
    }

    override fun close() {
        server.close()
        setState(LinkState.OPEN)
        sockets.forEach { runCatching { it.close() } }
    }

    private fun acceptClients() {
        while (!server.isClosed) {
            val client =
                try {
                    server.accept()
                } catch (_: IOException) {
                    return
                }
            sockets.add(client)
            startThread("forward-connect") { connect(client) }
        }
    }

    private fun connect(client: Socket) {
        awaitForwarding { it.isClientDataHeld }
        try {
            val target = Socket()
            target.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), CONNECT_TIMEOUT_MILLIS)
            sockets.add(target)
            startThread("forward-up") { copy(client, target) { it.isClientDataHeld } }
            startThread("forward-down") { copy(target, client) { it.isServerDataHeld } }
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
                awaitForwarding(isHeld)
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One side closed its connection; the other is closed below.
        }
        from.close()
        to.close()
        sockets.remove(from)
        sockets.remove(to)
    }

    /** Waits for the delay and until data is not held back. */
    private fun awaitForwarding(isHeld: (LinkState) -> Boolean) {
        val delayMillis = state.delayMillis
        if (delayMillis > 0) Thread.sleep(delayMillis)
        synchronized(lock) { while (isHeld(state)) lock.wait() }
    }

    private fun startThread(name: String, work: () -> Unit) {
        Thread(work, name).apply { isDaemon = true }.start()
    }

    private companion object {
        const val BACKLOG = 64
        const val CONNECT_TIMEOUT_MILLIS = 2_000
        const val BUFFER_BYTES = 65_536
    }
}
