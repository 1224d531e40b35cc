package marigoldward.wire.rpc

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import marigoldward.core.errorOrNull
import marigoldward.core.getOrNull
import marigoldward.core.model.InstanceId
import marigoldward.support.program.KeyFile
import marigoldward.wire.entry.DemandReply
import marigoldward.wire.entry.DemandRequest
import marigoldward.wire.entry.EntryRpc
import java.net.InetSocketAddress

private const val SECRET = "a-secret-for-this-test"
private val OWN = ClusterIdentity("cluster", KeyFile.fromSecret(SECRET))
private val REPLY = DemandReply(InstanceId.parse("entry-1"), 1, emptyList())

private fun <T> withServer(block: (InetSocketAddress) -> T): T {
    val service = ServiceBuilder.named(EntryRpc.SERVICE).unary(EntryRpc.DEMAND) { REPLY }.build()
    val server = RpcServer.start(InetSocketAddress("127.0.0.1", 0), OWN, listOf(service))
    return server.use { block(InetSocketAddress("127.0.0.1", it.port)) }
}

private fun call(address: InetSocketAddress, identity: ClusterIdentity) =
    RpcClient.to(address, identity).use { it.call(EntryRpc.DEMAND, DemandRequest(), 5_000) }

class IdentityCheckTest :
    DescribeSpec({
        describe("a call") {
            it("with the cluster id and key of the server is answered") {
                withServer { call(it, OWN) }.getOrNull() shouldBe REPLY
            }
            it("with another cluster id or key is refused as not executed, without the key in the message") {
                val others =
                    listOf(OWN.copy(clusterId = "other"), OWN.copy(key = KeyFile.fromSecret("another-secret-xxxxx")))
                others.forEach { other ->
                    val failure = withServer { call(it, other) }.errorOrNull().shouldNotBeNull()
                    failure.isKnownNotExecuted shouldBe true
                    failure.code shouldContain "PERMISSION_DENIED"
                    failure.message shouldNotContain SECRET
                }
            }
            it("to an address without a listener is known not to have been executed") {
                val unusedAddress = InetSocketAddress("127.0.0.1", 1)
                call(unusedAddress, OWN).errorOrNull().shouldNotBeNull().isKnownNotExecuted shouldBe true
            }
        }
    })
