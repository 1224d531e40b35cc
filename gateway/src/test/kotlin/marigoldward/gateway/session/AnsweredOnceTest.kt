package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

private const val CALLERS = 8
private const val REQUESTS_PER_CALLER = 12
private const val TIMEOUT_MILLIS = 1_000L

/** How long after its deadline a request may be answered, on a busy machine. */
private const val LATE_MILLIS = 1_500L
private const val EVENTS = 3
private const val MILLIS_PER_NANO = 1_000_000

private fun event(number: Int, id: String): String = "id: $number\ndata: $id\n\n"

private fun wholeStream(id: String): String = (1..EVENTS).joinToString("") { event(it, id) }

/** Upstreams that answer at once, late, in part or not at all, as drawn from [seed] for each attempt of each request. */
private class UnsteadyUpstreams(private val seed: Long, count: Int) : AutoCloseable {
    private val attempts = ConcurrentHashMap<String, AtomicInteger>()
    private val upstreams = List(count) { FakeUpstream(::answer) }
    val addresses: List<String> get() = upstreams.map { it.address }

    private fun answer(call: FakeUpstream.Call) {
        val attempt = attempts.computeIfAbsent(call.id) { AtomicInteger() }.incrementAndGet()
        val random = Random(seed * 1_000_003 + call.id.hashCode() * 31L + attempt)
        val body = if ("X-Step: prefill" in call.head) "handle" else call.id
        when (random.nextInt(20)) {
            0 -> call.reset()
            1 -> call.socket.close()
            2 -> call.respond("", "503 Busy", "X-Not-Run: 1\r\n")
            3 -> call.respond("", "500 Failed")
            4 -> Thread.sleep(random.nextLong(TIMEOUT_MILLIS * 2))
            5 -> call.write("HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\nContent-Length: 100\r\n\r\nhalf")
                .also { call.reset() }
            else -> succeed(call, body, random)
        }
    }

    private fun succeed(call: FakeUpstream.Call, body: String, random: Random) {
        Thread.sleep(random.nextLong(60))
        when {
            call.head.startsWith("HEAD") -> call.write("HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\n\r\n")
            isStream(call) -> stream(call, random)
            else -> call.respond(body, headers = if (random.nextInt(8) == 0) "Connection: close\r\n" else "")
        }
        if (random.nextInt(8) == 0) call.socket.close()
    }

    private fun isStream(call: FakeUpstream.Call): Boolean =
        "X-Step: prefill" !in call.head && Regex("^[A-Z]+ /[sr]/").containsMatchIn(call.head)

    private fun stream(call: FakeUpstream.Call, random: Random) {
        val last = Regex("Last-Event-Id: (\\d+)").find(call.head)?.groupValues?.get(1)?.toInt() ?: 0
        val breaksAt = random.nextInt(EVENTS * 8)
        call.write(
            "HTTP/1.1 200 OK\r\nX-Id: ${call.id}\r\nX-Signed: s\r\n" +
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )
        for (number in last + 1..EVENTS) {
            if (number == breaksAt) return call.reset()
            val text = event(number, call.id)
            call.write("${Integer.toHexString(text.length)}\r\n$text\r\n")
            Thread.sleep(random.nextLong(30))
        }
        call.write("0\r\n\r\n")
    }

    override fun close() = upstreams.forEach(FakeUpstream::close)
}

private class SentRequest(val id: String, random: Random) {
    val prefix: String = listOf("/i/", "/n/", "/s/", "/r/").random(random)
    val isStream: Boolean = prefix == "/s/" || prefix == "/r/"
    val isHead: Boolean = !isStream && random.nextInt(8) == 0
    private val isPost = !isHead && random.nextBoolean()
    private val tokens = if (random.nextInt(4) == 0) 6_000 else 10
    val text: String = buildString {
        append(
            if (isHead) {
                "HEAD"
            } else if (isPost) {
                "POST"
            } else {
                "GET"
            },
        )
        append(" ${prefix}x HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\nX-Prompt: p$tokens\r\nX-Tokens: $tokens\r\n")
        append(if (isPost) "Content-Length: 2\r\n\r\n{}" else "\r\n")
    }
}

/** Sends requests one after the other over kept connections, two at once at times, and records what is wrong. */
private class UnsteadyCaller(private val gateway: TestGateway, private val name: String, seed: Long) {
    private val random = Random(seed)
    private var connection = gateway.caller()
    val problems = ConcurrentLinkedQueue<String>()
    var answered = 0
        private set

    fun run() {
        repeat(REQUESTS_PER_CALLER) { number ->
            val requests = List(if (random.nextInt(6) == 0) 2 else 1) { SentRequest("$name-$number-$it", random) }
            connection.send(requests.joinToString("") { it.text })
            if (random.nextInt(8) == 0) {
                Thread.sleep(random.nextLong(150))
                reconnect()
            } else {
                readAnswers(requests)
            }
        }
        connection.close()
    }

    private fun readAnswers(requests: List<SentRequest>) {
        for (request in requests) {
            if (!readAnswer(request)) {
                reconnect()
                return
            }
        }
    }

    /** Returns whether the connection goes on. */
    private fun readAnswer(request: SentRequest): Boolean {
        val startNanos = System.nanoTime()
        val response = connection.readResponse(request.isHead)
        val tookMillis = (System.nanoTime() - startNanos) / MILLIS_PER_NANO
        problemOrNull(request, response, tookMillis)?.let { problems += "${request.id} ${request.prefix}: $it" }
        if (response != null) answered++
        return response != null && response.isComplete && "Connection: close" !in response.head
    }

    private fun problemOrNull(request: SentRequest, response: RawCaller.Response?, tookMillis: Long): String? = when {
        response == null -> "no answer, connection closed after $tookMillis ms"
        tookMillis > TIMEOUT_MILLIS + LATE_MILLIS -> "answered after $tookMillis ms"
        "X-Id: ${request.id}\r\n" !in response.head -> "an answer to another request: ${response.head}"
        !response.isComplete && !request.isStream -> "a part of an answer"
        response.status == 200 && !isOwnBody(request, response) -> "a wrong body: ${response.body}"
        else -> null
    }

    private fun isOwnBody(request: SentRequest, response: RawCaller.Response): Boolean = when {
        request.isHead -> true
        !request.isStream -> response.body == request.id
        response.isComplete -> response.body == wholeStream(request.id)
        else -> wholeStream(request.id).startsWith(response.body)
    }

    private fun reconnect() {
        connection.close()
        connection = gateway.caller()
    }
}

/** Returns the problems that callers of a gateway had whose upstreams are of [stages]. */
private fun play(seed: Long, stages: List<EngineStage?>): List<String> =
    UnsteadyUpstreams(seed, stages.size).use { upstreams ->
        val gateway = TestGateway(
            upstreams.addresses.zip(stages),
            timeoutMillis = TIMEOUT_MILLIS,
            targetLatencyMillis = 200,
        )
        gateway.use {
            val callers = List(CALLERS) { UnsteadyCaller(gateway, "c$seed-$it", seed * CALLERS + it) }
            callers.map { thread { it.run() } }.forEach(Thread::join)
            callers.sumOf { it.answered } shouldBeGreaterThan CALLERS
            Thread.sleep(QUIET_MILLIS)
            gateway.onLoop { gateway.server.isBusy } shouldBe false
            callers.flatMap { it.problems }
        }
    }

private const val QUIET_MILLIS = 100L

// Guards against requests that end without an answer, or with a part or the whole of another one.
class AnsweredOnceTest :
    DescribeSpec({
        describe("each request of a caller that stays gets one answer of its own") {
            val engines = listOf(EngineStage.PREFILL, EngineStage.DECODE, EngineStage.DECODE)
            (1L..24L).forEach { seed ->
                val stages = if (seed % 2 == 0L) engines else listOf(null, null, null)
                val kind = if (seed % 2 == 0L) "engines" else "plain upstreams"
                it("while $kind fail as drawn with seed $seed") {
                    val failedTasks = GatewayMetrics.failedTasks.get()
                    play(seed, stages).shouldBeEmpty()
                    GatewayMetrics.failedTasks.get() shouldBe failedTasks
                }
            }
        }
    })
