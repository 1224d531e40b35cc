package marigoldward.gateway.session

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlin.random.Random

private const val CALLERS = 12
private const val ROUNDS = 12
private const val PIPELINED = 3
private const val UPSTREAMS = 3
private const val MAX_EVENTS = 400

/** The body that only the request with [id] may get, of a length of its own. */
private fun bodyFor(id: String): String =
    (1..1 + (id.hashCode() and 0xffff) % MAX_EVENTS).joinToString("") { "id: $it\ndata: $id\n\n" }

/**
 * An upstream that answers as a faulty one may: a second time at once, with the next answer or on the idle connection,
 * with and without a request id, incomplete, with garbage behind an answer.
 */
private class StutteringScript(seed: Int, private val bearsIds: Boolean) : (FakeUpstream.Call) -> Unit {
    private val random = Random(seed)
    private val previousAnswers = ConcurrentHashMap<Socket, String>()

    override fun invoke(call: FakeUpstream.Call) {
        val own = answer(call.id, bearsIds)
        val late = previousAnswers.put(call.socket, answer(call.id, bearsIds && isChosen())).orEmpty()
        val chunked =
            "HTTP/1.1 200 OK\r\n${idLine(call.id, bearsIds)}X-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "${Integer.toHexString(bodyFor(call.id).length)}\r\n${bodyFor(call.id)}\r\n0\r\n\r\n"
        when (synchronized(random) { random.nextInt(CHOICES) }) {
            0 -> call.write(late + own)
            1 -> call.write(own + own)
            2 -> call.write(own + "garbage garbage\r\n\r\n")
            3 -> call.write(own.dropLast(1)).also { call.socket.close() }
            4 -> call.write(late + chunked)
            5 -> {
                call.write(own)
                Thread.sleep(LATE_MILLIS)
                call.write(own)
            }
            6 -> call.write(own + own.take(own.length / 2))
            else -> call.write(own)
        }
    }

    private fun isChosen(): Boolean = synchronized(random) { random.nextBoolean() }

    private fun idLine(id: String, bearsId: Boolean) = if (bearsId) "X-Id: $id\r\n" else ""

    private fun answer(id: String, bearsId: Boolean): String {
        val body = bodyFor(id)
        return "HTTP/1.1 200 OK\r\n${idLine(id, bearsId)}X-Signed: s\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }

    private companion object {
        const val CHOICES = 12
        const val LATE_MILLIS = 3L
    }
}

/** Sends pipelined requests in rounds; returns the ids that were answered, and what was wrong with the others. */
private fun runCaller(gateway: TestGateway, caller: Int, path: String): Pair<Int, List<String>> {
    val wrong = ArrayList<String>()
    var served = 0
    repeat(ROUNDS) { round ->
        val ids = (1..PIPELINED).map { "c$caller-r$round-p$it" }
        gateway.caller().use { connection ->
            ids.forEach { id ->
                connection.send(
                    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\nX-Prompt: p\r\nContent-Length: 2\r\n\r\n{}",
                )
            }
            for (id in ids) {
                val response: RawCaller.Response = connection.readResponse() ?: break
                when {
                    response.status >= 500 -> Unit
                    !response.isComplete -> if (!bodyFor(
                            id,
                        ).startsWith(response.body)
                    ) {
                        wrong.add("a part of another: $id")
                    }
                    response.status == 200 && response.body == bodyFor(id) -> served++
                    else -> wrong.add("$id: ${response.status} ${response.body.take(60)}")
                }
            }
        }
    }
    return served to wrong
}

class AnswerOwnershipTest :
    DescribeSpec({
        // Guards against an answer that reaches a caller that did not ask for it, or that is not whole.
        describe("many callers of upstreams that answer twice") {
            listOf(true, false).forEach { bearsIds ->
                listOf("/i/x" to null, "/n/x" to null, "/s/x" to EngineStage.DECODE).forEach { (path, stage) ->
                    val ids = if (bearsIds) "with" else "without"
                    it("each get their own whole answer or an error at $path, $ids request ids") {
                        val upstreams = (1..UPSTREAMS).map { FakeUpstream(StutteringScript(it, bearsIds)) }
                        val threads = Executors.newFixedThreadPool(CALLERS)
                        TestGateway(upstreams.map { it.address to stage }).use { gateway ->
                            val results = threads
                                .invokeAll((1..CALLERS).map { Callable { runCaller(gateway, it, path) } })
                                .map { it.get() }
                            withClue("wrong answers") { results.flatMap { it.second }.shouldBeEmpty() }
                            withClue("served") { results.sumOf { it.first } shouldBeGreaterThan CALLERS * ROUNDS }
                        }
                        threads.shutdown()
                        upstreams.forEach(FakeUpstream::close)
                    }
                }
            }
        }
    })
