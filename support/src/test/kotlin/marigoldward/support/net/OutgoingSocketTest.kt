package marigoldward.support.net

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.net.ConnectException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

private val LOOPBACK = InetAddress.getByName("127.0.0.1")

class OutgoingSocketTest :
    DescribeSpec({
        describe("a socket for a connection to another process") {
            // Guards against a connection that keeps a process from listening at the port that the system gave to it.
            it("leaves its local port free for a listener, while it is open and after its end") {
                ServerSocket(0, 1, LOOPBACK).use { server ->
                    // A port that the system gives to a connection may have another connection, of any process.
                    val port = FreePorts.next()
                    val socket = OutgoingSocket.Factory.createSocket(LOOPBACK, server.localPort, LOOPBACK, port)
                    ServerSocket(port, 1, LOOPBACK).close()
                    ServerSocket(port).close()
                    server.accept().use { socket.close() }
                    ServerSocket(port, 1, LOOPBACK).close()
                }
            }
            // Guards against a call to a process that is down being taken by the caller's own socket.
            it("is closed when it is connected to itself") {
                val socket = OutgoingSocket.create()
                socket.bind(InetSocketAddress(LOOPBACK, 0))
                shouldThrow<ConnectException> { socket.connect(socket.localSocketAddress) }
                socket.isClosed shouldBe true
            }
        }
    })
