package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

private const val REQUEST_BYTES = 4_000_000
private const val RECEIVE_BUFFER_BYTES = 16_384

/** What the upstream reads before it answers: the head of the request and the beginning of its body. */
private const val READ_FIRST_BYTES = 1_000
private const val FIRST_HALF = "id: 1\ndata: a\n\n"
private const val SECOND_HALF = "id: 2\ndata: b\n\n"
private const val UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\nContent-Type: text/event-stream\r\n\r\n"

/** An upstream that answers before it has read the body of the request, without a length, and then runs [end]. */
private class EarlyUpstream(private val end: (Socket) -> Unit) : AutoCloseable {
    private val server = ServerSocket().apply {
        receiveBufferSize = RECEIVE_BUFFER_BYTES
        bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
    }
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { answer(socket) } }
            }
        }
    }

    private fun answer(socket: Socket) = socket.use {
        it.getInputStream().readNBytes(READ_FIRST_BYTES)
        it.getOutputStream().write((UNFRAMED_HEAD + FIRST_HALF).toByteArray())
        Thread.sleep(150)
        end(it)
    }

    override fun close() = server.close()
}

private fun reset(socket: Socket) = socket.setSoLinger(true, 0)

private fun sendSecondHalf(socket: Socket) {
    socket.getInputStream().readNBytes(REQUEST_BYTES - READ_FIRST_BYTES)
    socket.getOutputStream().write(SECOND_HALF.toByteArray())
}

private fun exchange(stage: EngineStage?, path: String, end: (Socket) -> Unit): RawCaller.Response =
    EarlyUpstream(end).use { upstream ->
        TestGateway(listOf(upstream.address to stage), timeoutMillis = 4_000).use { gateway ->
            gateway.caller().use { caller ->
                val head = "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Prompt: p\r\n"
                caller.send("${head}Content-Length: $REQUEST_BYTES\r\n\r\n" + "b".repeat(REQUEST_BYTES))
                caller.readResponse().shouldNotBeNull()
            }
        }
    }

class ResetResponseTest :
    DescribeSpec({
        // A reset that met the write of the request ended an answer without a length as if it were complete.
        describe("an answer without a length whose connection is reset while the request is being written") {
            it("is not forwarded as a success") {
                exchange(stage = null, "/n/x", ::reset).status shouldBe 502
            }
            it("leaves a stream incomplete") {
                val response = exchange(EngineStage.DECODE, "/s/x", ::reset)
                response.body shouldBe FIRST_HALF
                response.isComplete shouldBe false
            }
        }
        describe("an answer without a length that begins before the request was read and ends in order") {
            it("is forwarded") {
                val response = exchange(stage = null, "/n/x", ::sendSecondHalf)
                response.status shouldBe 200
                response.body shouldBe FIRST_HALF + SECOND_HALF
            }
            it("completes a stream") {
                val response = exchange(EngineStage.DECODE, "/s/x", ::sendSecondHalf)
                response.body shouldBe FIRST_HALF + SECOND_HALF
                response.isComplete shouldBe true
            }
        }
    })
