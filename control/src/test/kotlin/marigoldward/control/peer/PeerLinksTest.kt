package marigoldward.control.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.control.ControlCommand
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.routes.RouteDocument
import marigoldward.support.program.KeyFile
import marigoldward.wire.peer.PeerEnvelope
import marigoldward.wire.peer.PeerRpc
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcServer
import marigoldward.wire.rpc.ServiceBuilder
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val DOCUMENTS = 8
private const val DOCUMENT_BYTES = 10_000_000
private val IDENTITY = ClusterIdentity("test", KeyFile.fromSecret("a key of the tests"))
private val SELF = ReplicaId(InstanceId.parse("control-1"), 1)
private val OTHER = ReplicaId(InstanceId.parse("control-2"), 1)

private fun append(index: Long, document: RouteDocument): ReplicaMessage {
    val entry = LogEntry(index, 1, EntryPayload.Command(ControlCommand.StoreRoutes(document)))
    return ReplicaMessage.Append(1, index - 1, 1, listOf(entry), 0, index)
}

class PeerLinksTest :
    DescribeSpec({
        describe("messages that wait for an earlier one") {
            // Guards against an envelope that is larger than its receiver accepts: all its messages were lost.
            it("arrive in order though together they are larger than a message between processes may be") {
                val received = LinkedBlockingQueue<Long>()
                val first = CountDownLatch(1)
                val deliver: (PeerEnvelope) -> Acknowledgement = { envelope ->
                    first.await(300, TimeUnit.MILLISECONDS)
                    envelope.messages.forEach { received.add((it as ReplicaMessage.Append).round) }
                    Acknowledgement(isAccepted = true)
                }
                val service = ServiceBuilder.named(PeerRpc.SERVICE).unary(PeerRpc.DELIVER, deliver).build()
                val address = InetSocketAddress("127.0.0.1", 0)
                RpcServer.start(address, IDENTITY, listOf(service)).use { server ->
                    val target = InetSocketAddress("127.0.0.1", server.port)
                    PeerLinks(SELF.name, IDENTITY, { target }, SharedStateSource.None).use { links ->
                        val document = RouteDocument(1, ByteArray(DOCUMENT_BYTES))
                        (0L..DOCUMENTS).forEach { index ->
                            val content = if (index == 0L) RouteDocument(1, ByteArray(0)) else document
                            links.send(SELF, OTHER, append(index + 1, content))
                        }
                        first.countDown()
                        List(DOCUMENTS + 1) { received.poll(10, TimeUnit.SECONDS) } shouldBe
                            (1L..DOCUMENTS + 1).toList()
                    }
                }
            }
        }
        describe("the parts of a batch") {
            it("hold at most so many messages") {
                val heartbeats = List(70) { ReplicaMessage.Append(1, 0, 0, emptyList(), 0, it.toLong()) }
                val parts = EnvelopeParts.split(heartbeats) { it }
                parts.map { it.size } shouldBe listOf(32, 32, 6)
                parts.flatten() shouldBe heartbeats
            }
            it("hold a message alone that is larger than a part") {
                val small = append(1, RouteDocument(1, ByteArray(10)))
                val large = append(2, RouteDocument(1, ByteArray(DOCUMENT_BYTES)))
                EnvelopeParts.split(listOf(small, large, small, small)) { it } shouldBe
                    listOf(listOf(small), listOf(large), listOf(small, small))
            }
        }
    })
