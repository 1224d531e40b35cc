package marigoldward.support.program

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.BindException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket

private val LOOPBACK = InetAddress.getByName("127.0.0.1")

private fun localAddress(socket: Socket) = InetSocketAddress(socket.localAddress, socket.localPort)

class AddressHolderTest :
    DescribeSpec({
        // Guards against the wait for an address whose log line doesn't tell a listener from a connection.
        describe("the holder of an address") {
            it("is told apart: listening, connected, connected to itself, closed a moment ago, none") {
                ServerSocket(0, 1, LOOPBACK).use { server ->
                    AddressHolder.of(InetSocketAddress(LOOPBACK, server.localPort)) shouldBe AddressHolder.LISTENING
                    AddressHolder.of(InetSocketAddress("0.0.0.0", server.localPort)) shouldBe AddressHolder.LISTENING
                    AddressHolder.of(InetSocketAddress("127.0.0.9", server.localPort)) shouldBe AddressHolder.NOT_SHOWN
                    val client = Socket(LOOPBACK, server.localPort)
                    val address = localAddress(client)
                    AddressHolder.of(address) shouldBe AddressHolder.CONNECTED
                    server.accept().use { client.close() }
                    AddressHolder.of(address) shouldBe AddressHolder.TIME_WAIT
                }
                Socket().use { socket ->
                    socket.bind(InetSocketAddress(LOOPBACK, 0))
                    socket.connect(localAddress(socket))
                    AddressHolder.of(localAddress(socket)) shouldBe AddressHolder.SELF_CONNECTED
                }
            }
        }
        // Guards against the end of a process that doesn't say which of its addresses it waited for.
        describe("an address that stays in use") {
            it("is named with its holder in the failure") {
                ServerSocket(0, 1, LOOPBACK).use { server ->
                    val address = InetSocketAddress(LOOPBACK, server.localPort)
                    val failure = shouldThrow<BindException> {
                        ListenAddress.bindWhenFree(address, ListenWait.Bounded(100)) {
                            ServerSocket(address.port, 1, LOOPBACK).close()
                        }
                    }
                    failure.message shouldContain "127.0.0.1:${server.localPort} can't be bound"
                    failure.message shouldContain "holder LISTENING"
                }
            }
        }
    })
