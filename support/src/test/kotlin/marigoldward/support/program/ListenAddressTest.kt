package marigoldward.support.program

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.support.http.StreamingUndertow
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

private fun occupiedAddress(): ServerSocket = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))

class ListenAddressTest :
    DescribeSpec({
        // A server whose address was still in use ended the start of its process.
        describe("a server whose address is in use") {
            it("starts when the address is free") {
                val occupied = occupiedAddress()
                val address = InetSocketAddress("127.0.0.1", occupied.localPort)
                thread {
                    Thread.sleep(500)
                    occupied.close()
                }
                val server = StreamingUndertow.at(address, 1_000, 1).toServer { Response(Status.OK) }.start()
                server.port() shouldBe address.port
                server.stop()
            }
        }
        describe("a failure that no waiting mends") {
            it("is passed on at once") {
                var calls = 0
                shouldThrow<IllegalStateException> {
                    ListenAddress.bindWhenFree(InetSocketAddress("127.0.0.1", 1)) {
                        calls++
                        error("no permission")
                    }
                }
                calls shouldBe 1
            }
        }
    })
