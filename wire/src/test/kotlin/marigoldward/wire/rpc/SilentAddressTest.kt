package marigoldward.wire.rpc

import io.grpc.stub.StreamObserver
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import marigoldward.core.model.InstanceId
import marigoldward.support.program.KeyFile
import marigoldward.wire.feed.FeedRpc
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.WatchRequest
import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private val IDENTITY = ClusterIdentity("tests", KeyFile.fromSecret("a-key-of-the-tests"))

/** An address that drops the requests to connect, as its queue of connections is full. */
private class SilentAddress : Closeable {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    private val waiting = ArrayList<Socket>()
    val address = InetSocketAddress("127.0.0.1", server.localPort)

    init {
        while (tryConnect()) check(waiting.size < 100) { "the queue of connections is never full" }
    }

    private fun tryConnect(): Boolean {
        val socket = Socket()
        return try {
            socket.connect(address, 300)
            waiting.add(socket)
        } catch (_: IOException) {
            socket.close()
            false
        }
    }

    override fun close() {
        waiting.forEach(Socket::close)
        server.close()
    }
}

class SilentAddressTest :
    DescribeSpec({
        describe("a client of an address that doesn't answer requests to connect") {
            // Guards against threads that pile up in an entry that looks for control while it is cut off.
            it("gives up the connection within seconds") {
                SilentAddress().use { silent ->
                    val ends = LinkedBlockingQueue<String>()
                    val observer = object : StreamObserver<FeedUpdate> {
                        override fun onNext(value: FeedUpdate) = Unit

                        override fun onError(failure: Throwable) = ends.put(failure.toString())

                        override fun onCompleted() = ends.put("completed")
                    }
                    RpcClient.to(silent.address, IDENTITY).use { client ->
                        client.openStream(FeedRpc.WATCH, WatchRequest(InstanceId.parse("entry"), 0), observer)
                        ends.poll(10, TimeUnit.SECONDS).shouldNotBeNull()
                    }
                }
            }
        }
    })
