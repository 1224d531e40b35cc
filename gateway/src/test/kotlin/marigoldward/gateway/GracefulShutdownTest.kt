package marigoldward.gateway

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import marigoldward.core.dispatch.EngineStage
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

private const val GRACE_MILLIS = 3_000L
private const val ANSWER_MILLIS = 700L
private const val EVENT_GAP_MILLIS = 100L
private const val LONG_STREAM_EVENTS = 45
private const val LONG_GRACE_MILLIS = 6_000L
private const val READINESS_PROPAGATION_MILLIS = 2_500L
private const val LAG_GRACE_MILLIS = 10_000L
private const val LAG_START_MILLIS = 2_300L
private const val LAG_END_MILLIS = 7_300L

/** The part of the grace period that a gateway keeps for its exit. */
private const val EXIT_MARGIN_MILLIS = 800L

/** How long the event loop lags around the end of a grace period. */
private const val SHORT_LAG_MILLIS = 400L

/** Longer than a stopping gateway waits for an answer of its event loop. */
private const val LONG_LAG_MILLIS = 1_300L
private const val LATE_CALLERS = 40

/** How a request ended for its caller. */
private data class Ending(
    val sentMillis: Long,
    val status: Int?,
    val isComplete: Boolean,
    val closes: Boolean,
    val wasReset: Boolean,
    /** Whether the response before it on its connection has announced no close. */
    val wasInvited: Boolean = false,
)

private fun request(path: String, id: String): String = "GET $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\n\r\n"

/** Answers after [ANSWER_MILLIS], a stream with its first event at once. */
private fun answerSlowly(call: FakeUpstream.Call) {
    if (call.head.startsWith("GET /s/")) {
        call.write(
            "HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "f\r\nid: 1\ndata: a\n\n\r\n",
        )
        Thread.sleep(ANSWER_MILLIS)
        call.write("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
    } else {
        Thread.sleep(ANSWER_MILLIS)
        call.respond("done")
    }
}

/** Sends a request and reads its response; the status of the ending is null if no byte of a response came. */
private fun RawCaller.exchange(path: String, id: String, startNanos: Long): Ending {
    val sentMillis = (System.nanoTime() - startNanos) / 1_000_000
    val result = runCatching {
        send(request(path, id))
        readResponse()
    }
    val response = result.getOrNull()
    val isReset = wasReset || result.exceptionOrNull() is SocketException
    val closes = response?.head?.contains("Connection: close") == true
    return Ending(sentMillis, response?.status, response?.isComplete == true, closes, isReset)
}

/** The endings of requests during a shutdown, and what upstreams got of them. */
private class Shutdown(val endings: List<Ending>, val forwardedIds: Set<String>, val tookMillis: Long)

/**
 * Shuts a gateway down while one caller after the other opens a connection, every 100 ms until none is accepted. Each
 * sends a request to [path] and, where [keepsUsing], goes on until its connection is gone.
 */
private fun shutDownUnderLoad(path: String, isEngine: Boolean, keepsUsing: Boolean): Shutdown {
    val upstream = FakeUpstream(::answerSlowly)
    val endings = CopyOnWriteArrayList<Ending>()
    val stage = if (isEngine) EngineStage.DECODE else null
    TestGateway(listOf(upstream.address to stage), timeoutMillis = 2_500, targetLatencyMillis = 500).use { gateway ->
        gateway.caller().use { it.exchange(path, "warm", System.nanoTime()).status shouldBe 200 }
        val kept = List(3) { gateway.caller() }
        val startNanos = System.nanoTime()
        val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
        val callers = CopyOnWriteArrayList<Thread>()
        kept.forEachIndexed { index, caller ->
            callers += thread {
                Thread.sleep(300L * index)
                caller.use { useUntilGone(it, path, "kept-$index", startNanos, endings, keepsUsing) }
            }
        }
        var number = 0
        while (shutdown.isAlive) {
            val caller = runCatching { gateway.caller() }.getOrNull() ?: break
            val id = "new-${number++}"
            callers += thread { caller.use { useUntilGone(it, path, id, startNanos, endings, keepsUsing) } }
            Thread.sleep(100)
        }
        shutdown.join()
        val tookMillis = (System.nanoTime() - startNanos) / 1_000_000
        callers.forEach(Thread::join)
        val forwarded = upstream.calls.map { it.id }.toSet()
        upstream.close()
        return Shutdown(endings, forwarded, tookMillis)
    }
}

private fun useUntilGone(
    caller: RawCaller,
    path: String,
    id: String,
    startNanos: Long,
    endings: MutableList<Ending>,
    keepsUsing: Boolean,
) {
    var count = 0
    var wasInvited = false
    do {
        val ending = caller.exchange(path, "$id.${count++}", startNanos).copy(wasInvited = wasInvited)
        endings += ending
        wasInvited = !ending.closes
    } while (keepsUsing && ending.isComplete)
}

/**
 * Runs [test] while a gateway shuts down that ends its one request in progress at the end of the grace period, with the
 * moment at which it does so.
 */
private fun withBusyShutdown(test: (TestGateway, Long) -> Unit) =
    FakeUpstream { Thread.sleep(2 * GRACE_MILLIS) }.use { upstream ->
        TestGateway(listOf(upstream.address to null), timeoutMillis = 2 * GRACE_MILLIS).use { gateway ->
            gateway.caller().use { busy ->
                busy.send(request("/n/x", "busy"))
                Thread.sleep(100)
                val exitNanos = System.nanoTime() + (GRACE_MILLIS - EXIT_MARGIN_MILLIS) * 1_000_000
                val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                test(gateway, exitNanos)
                busy.readResponse()?.status shouldBe 502
                shutdown.join()
            }
        }
    }

private fun sleepUntil(nanos: Long, offsetMillis: Long) =
    Thread.sleep((nanos - System.nanoTime()) / 1_000_000 + offsetMillis)

class GracefulShutdownTest :
    DescribeSpec({
        // A stopping gateway took requests until it ended and cut those that were not finished then.
        describe("a shutdown under load") {
            listOf("a stream" to "/s/x", "a plain call" to "/i/x", "a call that must not run twice" to "/n/x")
                .forEach { (name, path) ->
                    listOf(false, true).forEach { keepsUsing ->
                        val use = if (keepsUsing) "connections used until they are gone" else "new connections"
                        it("ends each forwarded request completely: $name, $use") {
                            val shutdown = shutDownUnderLoad(path, isEngine = path == "/s/x", keepsUsing)
                            shutdown.endings.filter { it.status != null && !it.isComplete }.shouldBeEmpty()
                            val unanswered = shutdown.endings.filter { it.status == null }
                            val answered = shutdown.endings.count { it.status == 200 }
                            shutdown.forwardedIds.size shouldBe answered + 1
                            withClue(shutdown.endings.sortedBy { it.sentMillis }) { answered shouldBeGreaterThan 5 }
                            shutdown.endings.filter { it.status == 503 }.shouldNotBeEmpty()
                            // The end of listening resets a connection that the gateway has not accepted.
                            val lastSentMillis = shutdown.endings.maxOf { it.sentMillis }
                            val lost = unanswered.filterNot { it.sentMillis == lastSentMillis && it.wasReset }
                            if (!keepsUsing) lost.shouldBeEmpty()
                            unanswered.filter { it.wasInvited }.shouldBeEmpty()
                            shutdown.tookMillis shouldBeLessThan GRACE_MILLIS
                        }
                    }
                }
            it("ends the connection of each response") {
                val endings = shutDownUnderLoad("/i/x", isEngine = false, keepsUsing = true).endings
                endings.filter { it.status != null && !it.closes }.shouldBeEmpty()
            }
        }
        describe("a request that takes longer than expected") {
            it("gets an answer when the gateway ends, which does not say that it has not run") {
                FakeUpstream { Thread.sleep(5_000) }.use { upstream ->
                    TestGateway(listOf(upstream.address to null), timeoutMillis = 10_000).use { gateway ->
                        gateway.caller().use { caller ->
                            caller.send(request("/n/x", "1"))
                            Thread.sleep(100)
                            val shutdown = thread { gateway.shutDown(1_500) }
                            val response = caller.readResponse().shouldNotBeNull()
                            response.status shouldBe 502
                            response.head shouldContain "Connection: close"
                            shutdown.join()
                        }
                    }
                }
            }
        }
        // Guards against a request that is cut off because the loop's silence was taken for the end of all requests.
        describe("a request in progress while the event loop lags") {
            it("is awaited") {
                FakeUpstream {
                    Thread.sleep(LAG_END_MILLIS + 1_000)
                    it.respond("done")
                }.use { upstream ->
                    TestGateway(listOf(upstream.address to null), timeoutMillis = 9_500).use { gateway ->
                        gateway.caller().use { caller ->
                            caller.send(request("/n/x", "1"))
                            Thread.sleep(100)
                            val shutdown = thread { gateway.shutDown(LAG_GRACE_MILLIS) }
                            Thread.sleep(LAG_START_MILLIS)
                            gateway.onLoop { Thread.sleep(LAG_END_MILLIS - LAG_START_MILLIS) }
                            caller.use { it.readResponse().shouldNotBeNull().status shouldBe 200 }
                            shutdown.join()
                        }
                    }
                }
            }
        }
        // A stopping gateway took streams by the length of earlier ones and cut off those that lasted longer.
        describe("a stream that lasts longer than any before it on its route") {
            it("is refused as not run once callers have been sent elsewhere, and is not cut off") {
                val upstream = FakeUpstream { call ->
                    call.write("HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\n")
                    call.write("Transfer-Encoding: chunked\r\n\r\n")
                    val events = if (call.id.startsWith("short")) 1 else LONG_STREAM_EVENTS
                    repeat(events) {
                        call.write("7\r\ndata:\n\n\r\n")
                        Thread.sleep(EVENT_GAP_MILLIS)
                    }
                    call.write("0\r\n\r\n")
                }
                TestGateway(listOf(upstream.address to EngineStage.DECODE), timeoutMillis = 8_000).use { gateway ->
                    val startNanos = System.nanoTime()
                    gateway.caller().use { it.exchange("/s/x", "short", startNanos).status shouldBe 200 }
                    val busy = thread { gateway.caller().use { it.exchange("/s/x", "long-0", startNanos) } }
                    Thread.sleep(200)
                    val shutdown = thread { gateway.shutDown(LONG_GRACE_MILLIS) }
                    Thread.sleep(READINESS_PROPAGATION_MILLIS + 300)
                    val late = gateway.caller().use { it.exchange("/s/x", "late", startNanos) }
                    shutdown.join()
                    busy.join()
                    late.status shouldBe 503
                    upstream.calls.map { it.id } shouldBe listOf("short", "long-0")
                }
                upstream.close()
            }
        }
        // A stopping gateway that lagged closed connections whose requests had lain in their sockets for long.
        describe("requests that come while the event loop lags at the end of the grace period") {
            it("are answered if their connections wait to be accepted") {
                withBusyShutdown { gateway, exitNanos ->
                    sleepUntil(exitNanos, SHORT_LAG_MILLIS - LONG_LAG_MILLIS)
                    val callers = gateway.onLoop {
                        val late = List(LATE_CALLERS) { gateway.caller() }
                        late.forEach { it.send(request("/i/x", "late")) }
                        Thread.sleep(LONG_LAG_MILLIS)
                        late
                    }
                    callers.map { caller -> caller.use { it.readResponse()?.status } } shouldBe
                        List(LATE_CALLERS) { 503 }
                }
            }
            it("are answered if they come just before the exit") {
                withBusyShutdown { gateway, exitNanos ->
                    sleepUntil(exitNanos, -SHORT_LAG_MILLIS)
                    gateway.caller().use { caller ->
                        sleepUntil(exitNanos, SHORT_LAG_MILLIS / 4)
                        gateway.onLoop {
                            caller.send(request("/i/x", "late"))
                            Thread.sleep(SHORT_LAG_MILLIS)
                        }
                        caller.readResponse()?.status shouldBe 503
                    }
                }
            }
        }
        describe("a connection that the gateway has not accepted when it stops listening") {
            it("is reset, and its request is not forwarded") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        lateinit var caller: RawCaller
                        gateway.onLoop {
                            caller = gateway.caller()
                            caller.send(request("/i/x", "1"))
                            gateway.server.stopListening()
                        }
                        shouldThrow<SocketException> { caller.readToEnd() }
                        caller.close()
                        upstream.calls.shouldBeEmpty()
                    }
                }
            }
        }
        // A stopping gateway closed a connection that it had accepted and not read from yet, without an answer.
        describe("a connection that is accepted just before the idle ones are closed") {
            it("gets the answer to its request") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        lateinit var caller: RawCaller
                        gateway.onLoop {
                            caller = gateway.caller()
                            caller.send(request("/i/x", "1"))
                            gateway.afterNextAccept(gateway.server::closeIdle)
                        }
                        caller.use { it.readResponse().shouldNotBeNull().status shouldBe 200 }
                    }
                }
            }
            it("is closed before the end of the grace period if no request comes") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        val shutdown = thread { gateway.shutDown(GRACE_MILLIS) }
                        Thread.sleep(GRACE_MILLIS / 2 - 100)
                        gateway.caller().use { caller ->
                            shutdown.join(GRACE_MILLIS)
                            shutdown.isAlive shouldBe false
                            caller.isClosed() shouldBe true
                        }
                    }
                }
            }
        }
        describe("a gateway without requests") {
            it("shuts down before its grace period is over, and lets no connection pass without an end") {
                FakeUpstream(::answerSlowly).use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        gateway.caller().use { caller ->
                            val startNanos = System.nanoTime()
                            gateway.shutDown(GRACE_MILLIS)
                            (System.nanoTime() - startNanos) / 1_000_000 shouldBeLessThan GRACE_MILLIS
                            caller.isClosed() shouldBe true
                        }
                    }
                }
            }
        }
    })
