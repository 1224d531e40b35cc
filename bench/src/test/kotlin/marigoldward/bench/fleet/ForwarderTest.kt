package marigoldward.bench.fleet

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException

private const val READ_TIMEOUT_MILLIS = 300
private const val CONNECTIONS = 200
private val CLIENT_DATA_HELD = LinkState(isClientDataHeld = true, isServerDataHeld = false, delayMillis = 0)
private val SERVER_DATA_HELD = LinkState(isClientDataHeld = false, isServerDataHeld = true, delayMillis = 0)

/** A connection from [client] to [server] through a forwarder. */
private class ForwardedConnection : AutoCloseable {
    private val listener = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    val forwarder = Forwarder(listener.localPort)
    val client = Socket(InetAddress.getLoopbackAddress(), forwarder.port).apply { soTimeout = READ_TIMEOUT_MILLIS }
    val server: Socket = listener.accept().apply { soTimeout = READ_TIMEOUT_MILLIS }

    override fun close() {
        forwarder.close()
        client.close()
        server.close()
        listener.close()
    }
}

/** Sends one byte and returns the byte received at [to]. */
private fun send(from: Socket, to: Socket): Int {
    from.getOutputStream().write(7)
    return to.getInputStream().read()
}

class ForwarderTest :
    DescribeSpec({
        describe("a forwarder") {
            it("forwards bytes in both directions") {
                ForwardedConnection().use {
                    send(it.client, it.server) shouldBe 7
                    send(it.server, it.client) shouldBe 7
                }
            }
            it("holds back one direction while it forwards the other, and closes no connection") {
                ForwardedConnection().use {
                    it.forwarder.setState(CLIENT_DATA_HELD)
                    shouldThrow<SocketTimeoutException> { send(it.client, it.server) }
                    send(it.server, it.client) shouldBe 7
                    it.forwarder.setState(SERVER_DATA_HELD)
                    it.server.getInputStream().read() shouldBe 7
                    shouldThrow<SocketTimeoutException> { send(it.server, it.client) }
                    it.forwarder.setState(LinkState.OPEN)
                    it.client.getInputStream().read() shouldBe 7
                }
            }
            it("delays forwarded bytes") {
                ForwardedConnection().use {
                    it.forwarder.setState(
                        LinkState(isClientDataHeld = false, isServerDataHeld = false, delayMillis = 100),
                    )
                    val startNanos = System.nanoTime()
                    send(it.client, it.server)
                    (System.nanoTime() - startNanos) / 1_000_000 shouldBeGreaterThanOrEqual 100
                }
            }
            // Guards against a connection that is closed with its other half before it is reset.
            it("resets each of many open connections") {
                ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress()).use { listener ->
                    Forwarder(listener.localPort).use { forwarder ->
                        val clients = List(CONNECTIONS) {
                            Socket(InetAddress.getLoopbackAddress(), forwarder.port).apply { soTimeout = 3_000 }
                        }
                        val servers = List(CONNECTIONS) { listener.accept() }
                        clients.forEach { it.getOutputStream().write(7) }
                        servers.forEach { it.getInputStream().read() shouldBe 7 }
                        forwarder.reset()
                        clients.count { runCatching { it.getInputStream().read() }.getOrNull() == -1 } shouldBe 0
                        (clients + servers).forEach(Socket::close)
                    }
                }
            }
            it("resets open connections") {
                ForwardedConnection().use {
                    send(it.client, it.server)
                    it.forwarder.reset()
                    shouldThrow<IOException> {
                        check(it.client.getInputStream().read() >= 0) { "closed instead of reset" }
                    }
                }
            }
        }
    })
