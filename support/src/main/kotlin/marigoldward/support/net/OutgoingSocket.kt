package marigoldward.support.net

import java.net.ConnectException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketAddress
import javax.net.SocketFactory

/**
 * A socket for a connection to another process.
 *
 * Its local port remains free for a listener (`SO_REUSEADDR`): the system may give a connection the port of a process
 * that is being restarted. A connection to itself, which the system may open where nothing listens, counts as refused.
 */
public class OutgoingSocket private constructor() : Socket() {
    init {
        reuseAddress = true
    }

    /**
     * Connects to [endpoint] within [timeout] milliseconds, or without a limit if that is 0.
     *
     * @throws ConnectException also if the socket is connected to itself
     */
    override fun connect(endpoint: SocketAddress?, timeout: Int) {
        super.connect(endpoint, timeout)
        if (localSocketAddress != remoteSocketAddress) return
        close()
        throw ConnectException("$endpoint is connected to itself")
    }

    /** Creates sockets that aren't connected. */
    public companion object {
        /** Returns a new socket. */
        public fun create(): OutgoingSocket = OutgoingSocket()
    }

    /** Creates sockets for clients. */
    public object Factory : SocketFactory() {
        override fun createSocket(): Socket = create()

        override fun createSocket(host: String, port: Int): Socket = connected(InetSocketAddress(host, port), null)

        override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket =
            connected(InetSocketAddress(host, port), InetSocketAddress(localHost, localPort))

        override fun createSocket(host: InetAddress, port: Int): Socket = connected(InetSocketAddress(host, port), null)

        override fun createSocket(address: InetAddress, port: Int, localAddress: InetAddress, localPort: Int): Socket =
            connected(InetSocketAddress(address, port), InetSocketAddress(localAddress, localPort))

        private fun connected(address: InetSocketAddress, local: InetSocketAddress?): Socket = create().apply {
            runCatching {
                local?.let(::bind)
                connect(address)
            }.onFailure { failure ->
                close()
                throw failure
            }
        }
    }
}
