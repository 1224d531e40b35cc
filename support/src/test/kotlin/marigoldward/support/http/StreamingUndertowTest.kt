package marigoldward.support.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.URI
import java.util.concurrent.CountDownLatch

/** A body of two parts. The second one is available only once [released] has counted down. */
private class TwoPartBody(private val released: CountDownLatch) : InputStream() {
    private var next = 0

    override fun read(): Int = error("the server must read parts, not single bytes")

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        if (next == 2) return -1
        if (next == 1) released.await()
        buffer[offset] = ('a'.code + next++).toByte()
        return 1
    }
}

class StreamingUndertowTest :
    DescribeSpec({
        describe("a streamed response") {
            it("reaches the caller part by part, before the whole body is available") {
                val released = CountDownLatch(1)
                val config = StreamingUndertow.at(InetSocketAddress("127.0.0.1", 0), 1_000, 4)
                val server = config.toServer { Response(Status.OK).body(Body(TwoPartBody(released))) }.start()
                server.use {
                    val stream = URI("http://127.0.0.1:${server.port()}/").toURL().openStream()
                    stream.read() shouldBe 'a'.code
                    config.activeRequests shouldBe 1
                    released.countDown()
                    stream.read() shouldBe 'b'.code
                    stream.read() shouldBe -1
                }
            }
        }
    })
