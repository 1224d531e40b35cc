package marigoldward.support.program

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import marigoldward.support.http.StreamingUndertow
import marigoldward.support.time.MonotonicClock
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.BindException
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
        // Guards against a process that ends by itself as its system says "in use" in another language.
        describe("an address in use, with a message in another language") {
            it("is waited for until it is free") {
                occupiedAddress().use { occupied ->
                    val address = InetSocketAddress("127.0.0.1", occupied.localPort)
                    val freeMillis = MonotonicClock.nowMillis() + ListenAddress.MAX_WAIT_MILLIS + 1_000
                    ListenAddress.bindWhenFree(address, ListenWait.UntilFree) {
                        if (MonotonicClock.nowMillis() < freeMillis) throw BindException("L'adresse est utilisée")
                        "bound"
                    } shouldBe "bound"
                }
            }
        }
        // Guards against a process that waits for ever for an address that it may not bind.
        describe("an address that the process may not bind") {
            it("is waited for no longer than a process needs to end, also by a wait without a limit") {
                val address = InetSocketAddress("127.0.0.1", 1)
                val startMillis = MonotonicClock.nowMillis()
                shouldThrow<BindException> {
                    ListenAddress.bindWhenFree(address, ListenWait.UntilFree) {
                        throw BindException("Permission denied")
                    }
                }
                MonotonicClock.nowMillis() - startMillis shouldBeInRange
                    ListenAddress.MAX_WAIT_MILLIS..ListenAddress.MAX_WAIT_MILLIS + 1_000
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
