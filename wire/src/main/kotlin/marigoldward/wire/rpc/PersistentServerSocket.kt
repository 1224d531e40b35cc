package marigoldward.wire.rpc

import marigoldward.support.log.EventLog
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import javax.net.ServerSocketFactory

/**
 * A listening socket that accepts connections until it is closed.
 *
 * A gRPC server stops to accept for good when its socket fails once, for example with too many open files.
 */
internal class PersistentServerSocket : ServerSocket() {
    private var isFailing = false

    override fun accept(): Socket {
        while (true) {
            try {
                return super.accept().also { isFailing = false }
            } catch (failure: IOException) {
                if (isClosed) throw failure
                if (!isFailing) log(failure)
                isFailing = true
            }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun log(failure: IOException) = try {
        log.warn("accept_failed") { field("reason", failure) }
    } catch (_: LinkageError) {
        // A class that is used for the first time may need a descriptor too.
    }

    /** Creates the sockets. */
    object Factory : ServerSocketFactory() {
        override fun createServerSocket(): ServerSocket = PersistentServerSocket()

        override fun createServerSocket(port: Int): ServerSocket = bound(InetSocketAddress(port), 0)

        override fun createServerSocket(port: Int, backlog: Int): ServerSocket = bound(InetSocketAddress(port), backlog)

        override fun createServerSocket(port: Int, backlog: Int, address: InetAddress?): ServerSocket =
            bound(InetSocketAddress(address, port), backlog)

        private fun bound(address: InetSocketAddress, backlog: Int): ServerSocket =
            PersistentServerSocket().apply { bind(address, backlog) }
    }

    private companion object {
        const val RETRY_MILLIS = 100L
        val log = EventLog.fromName("rpc")
    }
}
