package marigoldward.wire.rpc

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.Outcome
import marigoldward.core.model.InstanceId
import marigoldward.support.log.EventLog
import marigoldward.support.program.KeyFile
import marigoldward.wire.entry.DemandReply
import marigoldward.wire.entry.DemandRequest
import marigoldward.wire.entry.EntryRpc
import java.io.File
import java.io.FileInputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

private const val CLOSE_MILLIS = 1_000L
private const val MAX_OPEN_FILES = 256
private val IDENTITY = ClusterIdentity("cluster", KeyFile.fromSecret("a-secret-for-this-test"))

/** A program with a server that can't accept a connection for a while, as there are too many open files. */
internal object ServerWithoutDescriptorsProgram {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val reply = DemandReply(InstanceId.parse("entry-1"), 1, emptyList())
        val service = ServiceBuilder.named(EntryRpc.SERVICE).unary(EntryRpc.DEMAND) { reply }.build()
        val server = RpcServer.start(InetSocketAddress("127.0.0.1", 0), IDENTITY, listOf(service))
        val address = InetSocketAddress("127.0.0.1", server.port)
        println("before: ${answer(address)}")
        // The descriptors of the first connection would serve for the next.
        Thread.sleep(CLOSE_MILLIS)
        val files = openAll()
        files.removeLast().close()
        Socket().use { unaccepted ->
            unaccepted.connect(address)
            Thread.sleep(500)
            files.forEach(FileInputStream::close)
        }
        println("after: ${answer(address)}")
        EventLog.flush()
        Runtime.getRuntime().halt(0)
    }

    /** Returns "true", or the failure and the time that it took. */
    private fun answer(address: InetSocketAddress): String {
        val startNanos = System.nanoTime()
        val outcome = RpcClient.to(address, IDENTITY).use { it.call(EntryRpc.DEMAND, DemandRequest(), 3_000) }
        return when (outcome) {
            is Outcome.Success -> "true"
            is Outcome.Failure -> "${outcome.error} after ${(System.nanoTime() - startNanos) / 1_000_000} ms"
        }
    }

    private fun openAll(): MutableList<FileInputStream> {
        val files = ArrayList<FileInputStream>()
        while (true) {
            try {
                files.add(FileInputStream("/dev/null"))
            } catch (_: IOException) {
                return files
            }
        }
    }
}

class RpcServerTest :
    DescribeSpec({
        // A server that ran out of descriptors once accepted no connection any more, while its process lived on: first as
        // its socket failed, then as the logging of that needed a descriptor too.
        describe("a server that runs out of descriptors") {
            it("accepts connections again when there are some") {
                val java = File(System.getProperty("java.home"), "bin/java").path
                val program = ServerWithoutDescriptorsProgram::class.java.name
                val command = "ulimit -n $MAX_OPEN_FILES && exec \"\$0\" \"\$@\""
                val process =
                    ProcessBuilder("sh", "-c", command, java, "-cp", System.getProperty("java.class.path"), program)
                        .redirectErrorStream(true)
                        .start()
                val output = process.inputReader().readLines()
                val answered = output.filter { it.startsWith("before: ") || it.startsWith("after: ") }
                withClue(output.joinToString("\n")) { answered shouldBe listOf("before: true", "after: true") }
            }
        }
    })
