package marigoldward.gateway.upstream

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.nio.NioEventLoopGroup
import marigoldward.support.net.FreePorts
import java.net.ConnectException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit

private val LOOPBACK = InetAddress.getByName("127.0.0.1")

private fun withBootstrap(action: (Bootstrap) -> Unit) {
    val group = NioEventLoopGroup(1)
    val bootstrap = Bootstrap().group(group).channelFactory(ChannelFactory { UpstreamChannel() })
    try {
        action(bootstrap.handler(ChannelInboundHandlerAdapter()))
    } finally {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
    }
}

class UpstreamChannelTest :
    DescribeSpec({
        describe("a connection to an upstream") {
            // Guards against a connection that keeps a process from listening at the port that the system gave to it.
            it("leaves its local port free for a listener") {
                withBootstrap { bootstrap ->
                    ServerSocket(0, 1, LOOPBACK).use { server ->
                        // A port that the system gives to a connection may have another connection, of any process.
                        val local = InetSocketAddress(LOOPBACK, FreePorts.next())
                        bootstrap.connect(server.localSocketAddress, local).sync()
                        ServerSocket(local.port, 1, LOOPBACK).close()
                    }
                }
            }
            // Guards against a request to an upstream that is down being sent to the entry's own socket.
            it("fails when it is connected to itself") {
                withBootstrap { bootstrap ->
                    val self = InetSocketAddress(LOOPBACK, FreePorts.next())
                    val connectFuture = bootstrap.connect(self, self).await()
                    connectFuture.cause().shouldBeInstanceOf<ConnectException>()
                    connectFuture.channel().closeFuture().await(5_000) shouldBe true
                }
            }
        }
    })
