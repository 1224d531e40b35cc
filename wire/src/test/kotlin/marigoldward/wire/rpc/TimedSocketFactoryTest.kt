package marigoldward.wire.rpc

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.support.net.FreePorts
import java.net.InetAddress
import java.net.ServerSocket

private val LOOPBACK = InetAddress.getByName("127.0.0.1")

class TimedSocketFactoryTest :
    DescribeSpec({
        describe("a connection of a client of another process") {
            // Guards against a connection that keeps a process from listening at the port that the system gave to it.
            it("leaves its local port free for a listener") {
                val factory = TimedSocketFactory(connectTimeoutMillis = 1_000)
                ServerSocket(0, 1, LOOPBACK).use { server ->
                    // A port that the system gives to a connection may have another connection, of any process.
                    val port = FreePorts.next()
                    factory.createSocket(LOOPBACK, server.localPort, LOOPBACK, port).use {
                        ServerSocket(port, 1, LOOPBACK).close()
                    }
                    factory.createSocket(LOOPBACK, server.localPort).use { it.reuseAddress shouldBe true }
                }
            }
        }
    })
