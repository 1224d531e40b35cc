package marigoldward.wire.rpc

import marigoldward.support.net.OutgoingSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Creates sockets that give up connecting after [connectTimeoutMillis].
 *
 * Without a limit, a thread waits for an address that doesn't answer for as long as the operating system tries, which is
 * minutes, even after the client was closed.
 */
internal class TimedSocketFactory(private val connectTimeoutMillis: Int) : SocketFactory() {
    override fun createSocket(): Socket = OutgoingSocket.create()

    override fun createSocket(host: String, port: Int): Socket = connected(InetSocketAddress(host, port), null)

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket =
        connected(InetSocketAddress(host, port), InetSocketAddress(localHost, localPort))

    override fun createSocket(host: InetAddress, port: Int): Socket = connected(InetSocketAddress(host, port), null)

    override fun createSocket(address: InetAddress, port: Int, localAddress: InetAddress, localPort: Int): Socket =
        connected(InetSocketAddress(address, port), InetSocketAddress(localAddress, localPort))

    private fun connected(address: InetSocketAddress, local: InetSocketAddress?): Socket {
        val socket = OutgoingSocket.create()
        runCatching {
            local?.let(socket::bind)
            socket.connect(address, connectTimeoutMillis)
        }.onFailure { failure ->
            socket.close()
            throw failure
        }
        return socket
    }
}
