package marigoldward.bench.fleet

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException

private const val WAIT_MILLIS = 300
private val UP_HELD = LinkState(isUpHeld = true, isDownHeld = false, delayMillis = 0)
private val DOWN_HELD = LinkState(isUpHeld = false, isDownHeld = true, delayMillis = 0)

/** A forwarder between two sockets of this test. */
private class Link : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    val forwarder = Forwarder(server.localPort)
    val caller = Socket(InetAddress.getLoopbackAddress(), forwarder.port).apply { soTimeout = WAIT_MILLIS }
    val called: Socket = server.accept().apply { soTimeout = WAIT_MILLIS }

    override fun close() {
        forwarder.close()
        caller.close()
        called.close()
        server.close()
    }
}

private fun pass(from: Socket, to: Socket): Int {
    from.getOutputStream().write(7)
    return to.getInputStream().read()
}

class ForwarderTest :
    DescribeSpec({
        describe("a forwarder") {
            it("passes bytes both ways") {
                Link().use {
                    pass(it.caller, it.called) shouldBe 7
                    pass(it.called, it.caller) shouldBe 7
                }
            }
            it("holds back one direction while the other passes, and closes nothing") {
                Link().use {
                    it.forwarder.change(UP_HELD)
                    shouldThrow<SocketTimeoutException> { pass(it.caller, it.called) }
                    pass(it.called, it.caller) shouldBe 7
                    it.forwarder.change(DOWN_HELD)
                    it.called.getInputStream().read() shouldBe 7
                    shouldThrow<SocketTimeoutException> { pass(it.called, it.caller) }
                    it.forwarder.change(LinkState.OPEN)
                    it.caller.getInputStream().read() shouldBe 7
                }
            }
            it("delays what passes") {
                Link().use {
                    it.forwarder.change(LinkState(isUpHeld = false, isDownHeld = false, delayMillis = 100))
                    val startNanos = System.nanoTime()
                    pass(it.caller, it.called)
                    (System.nanoTime() - startNanos) / 1_000_000 shouldBeGreaterThanOrEqual 100
                }
            }
            it("resets what is open") {
                Link().use {
                    pass(it.caller, it.called)
                    it.forwarder.reset()
                    shouldThrow<IOException> { check(it.caller.getInputStream().read() >= 0) { "closed, not reset" } }
                }
            }
        }
    })
