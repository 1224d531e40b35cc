package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.TestGateway
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** The limit of a body that the gateway keeps in memory, and of what lies in the buffers of the sockets. */
private const val MAX_ACCEPTED_BYTES = 16L * 1024 * 1024
private const val BLOCK_BYTES = 65_536
private const val ENDLESS_STREAMS = 4
private const val ROUTE_TIMEOUT_MILLIS = 2_000L
private const val UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\n\r\n"
private const val SIGNED_HEAD = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n"

private fun request(path: String): String =
    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Prompt: p\r\nContent-Length: 2\r\n\r\n{}"

/** Writes [beginning] and then [block] again and again until the peer closes; returns the number of bytes written. */
private fun FakeUpstream.Call.writeWithoutEnd(beginning: String, block: String): Long {
    val bytes = block.toByteArray()
    var written = 0L
    write(beginning)
    try {
        while (true) {
            socket.getOutputStream().write(bytes)
            written += bytes.size
        }
    } catch (_: java.io.IOException) {
        return written
    }
}

private fun chunk(data: String): String = "${Integer.toHexString(data.length)}\r\n$data\r\n"

/** Returns the status that the caller gets, whether the answer is complete, and the bytes that the gateway accepted. */
private fun forward(stage: EngineStage?, path: String, beginning: String, block: String): Triple<Int, Boolean, Long> {
    val accepted = AtomicLong()
    val upstream = FakeUpstream { accepted.addAndGet(it.writeWithoutEnd(beginning, block)) }
    TestGateway(listOf(upstream.address to stage), timeoutMillis = 4_000).use { gateway ->
        gateway.caller().use { caller ->
            caller.send(request(path))
            val response = caller.readResponse().shouldNotBeNull()
            upstream.awaitClosed().shouldNotBeNull()
            upstream.close()
            return Triple(response.status, response.isComplete, accepted.get())
        }
    }
}

class EndlessResponseTest :
    DescribeSpec({
        // Guards against an upstream that sends bytes without end filling the memory of the gateway.
        describe("bytes without end from an upstream") {
            it("in a body end the attempt, and the upstream's connection is closed") {
                val block = chunk("x".repeat(BLOCK_BYTES))
                val (status, _, acceptedBytes) = forward(null, "/n/x", "$SIGNED_HEAD\r\n", block)
                status shouldBe 502
                acceptedBytes shouldBeLessThan MAX_ACCEPTED_BYTES
            }
            it("in a head end the attempt") {
                val (status, _, acceptedBytes) = forward(null, "/n/x", SIGNED_HEAD, "X-More: ${"x".repeat(1_000)}\r\n")
                status shouldBe 502
                acceptedBytes shouldBeLessThan MAX_ACCEPTED_BYTES
            }
            it("in the body of an answer to another request end the attempt") {
                val otherHead = SIGNED_HEAD.replace("X-Id: 1", "X-Id: other")
                val block = chunk("x".repeat(BLOCK_BYTES))
                val (status, _, acceptedBytes) = forward(null, "/n/x", "$otherHead\r\n", block)
                status shouldBe 502
                acceptedBytes shouldBeLessThan MAX_ACCEPTED_BYTES
            }
            it("in interim answers end the attempt") {
                val (status, _, acceptedBytes) =
                    forward(null, "/n/x", "", "HTTP/1.1 103 Early Hints\r\nX-More: ${"x".repeat(1_000)}\r\n\r\n")
                status shouldBe 502
                acceptedBytes shouldBeLessThan MAX_ACCEPTED_BYTES
            }
            it("in an event of a stream end the answer, which does not look complete") {
                val block = chunk("x".repeat(BLOCK_BYTES))
                val (status, isComplete, acceptedBytes) =
                    forward(EngineStage.DECODE, "/s/x", "$SIGNED_HEAD\r\n" + chunk("id: 1\ndata: x\n\n"), block)
                status shouldBe 200
                isComplete shouldBe false
                acceptedBytes shouldBeLessThan MAX_ACCEPTED_BYTES
            }
        }
        // A stream of newlines without end was split into a million events a turn, and the event loop did nothing else.
        describe("streams without end") {
            listOf("of empty lines" to "\n", "of tiny events" to "a\n\n").forEach { (name, unit) ->
                it("$name don't keep other requests from being answered in time") {
                    val block = unit.repeat(BLOCK_BYTES / unit.length)
                    val script: (FakeUpstream.Call) -> Unit = { call ->
                        if (call.id == "1") {
                            call.writeWithoutEnd(UNFRAMED_HEAD, block)
                        } else {
                            call.respond("data: done\n\n")
                        }
                    }
                    val upstreams = List(2) { FakeUpstream(script) }
                    val addresses = upstreams.map { it.address to EngineStage.DECODE }
                    TestGateway(addresses, timeoutMillis = ROUTE_TIMEOUT_MILLIS).use { gateway ->
                        repeat(ENDLESS_STREAMS) {
                            thread(isDaemon = true) {
                                gateway.caller().use { caller ->
                                    caller.send(request("/s/x"))
                                    runCatching { caller.skip(Long.MAX_VALUE) }
                                }
                            }
                        }
                        repeat(10) {
                            val startNanos = System.nanoTime()
                            gateway.caller().use { caller ->
                                caller.send(request("/i/x").replace("X-Id: 1", "X-Id: 2"))
                                caller.readResponse().shouldNotBeNull().status shouldBe 200
                            }
                            (System.nanoTime() - startNanos) / 1_000_000 shouldBeLessThan ROUTE_TIMEOUT_MILLIS
                        }
                    }
                    upstreams.forEach(FakeUpstream::close)
                }
            }
            // What a caller didn't take piled up in the memory of the gateway.
            it("are read only as fast as their caller takes them") {
                val accepted = AtomicLong()
                val block = "data: ${"x".repeat(1_000)}\n\n".repeat(64).toByteArray()
                FakeUpstream { call ->
                    call.write(UNFRAMED_HEAD)
                    while (true) {
                        call.socket.getOutputStream().write(block)
                        accepted.addAndGet(block.size.toLong())
                    }
                }.use { upstream ->
                    TestGateway(listOf(upstream.address to EngineStage.DECODE), timeoutMillis = 4_000).use { gateway ->
                        gateway.caller().use { caller ->
                            caller.send(request("/s/x"))
                            Thread.sleep(2_000)
                            accepted.get() shouldBeLessThan MAX_ACCEPTED_BYTES
                            caller.skip(2 * MAX_ACCEPTED_BYTES)
                        }
                    }
                }
            }
        }
    })
