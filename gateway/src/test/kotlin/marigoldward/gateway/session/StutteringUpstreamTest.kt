package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import java.util.concurrent.atomic.AtomicInteger
import kotlin.system.measureTimeMillis

/** Less than the time limit of the routes, 1,500 ms. */
private const val AT_ONCE_MILLIS = 700L
private const val UNKNOWN_OUTCOME = 502
private const val OK_LINE = "HTTP/1.1 200 OK\r\n"

private fun request(id: String, path: String = "/n/x", method: String = "POST", headers: String = ""): String {
    val head = "$method $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\nX-Prompt: p\r\n$headers"
    return if (method == "POST") "${head}Content-Length: 2\r\n\r\n{}" else "$head\r\n"
}

/** The text of a signed answer with [body]; one whose [id] is null bears no request id. */
private fun answer(id: String?, body: String, statusLine: String = OK_LINE, length: Int = body.length): String =
    statusLine + id?.let { "X-Id: $it\r\n" }.orEmpty() + "X-Signed: s\r\nContent-Length: $length\r\n\r\n$body"

private fun unframedAnswer(id: String, body: String): String = "${OK_LINE}X-Id: $id\r\nX-Signed: s\r\n\r\n$body"

private fun FakeUpstream.Call.answerWithId() = write(answer(id, "answer to $id"))

/** Answers with the id of the request, after [late] if the connection has carried a request before. */
private fun lateThenOwn(late: String): (FakeUpstream.Call) -> Unit = { call ->
    if (call.numberOnConnection > 0) call.write(late)
    call.answerWithId()
}

private fun withEngines(
    vararg engines: Pair<EngineStage?, (FakeUpstream.Call) -> Unit>,
    test: (RawCaller, List<FakeUpstream>) -> Unit,
) {
    val upstreams = engines.map { FakeUpstream(it.second) }
    TestGateway(upstreams.mapIndexed { index, upstream -> upstream.address to engines[index].first }).use { gateway ->
        gateway.caller().use { test(it, upstreams) }
    }
    upstreams.forEach(FakeUpstream::close)
}

private fun withUpstream(script: (FakeUpstream.Call) -> Unit, test: (RawCaller, FakeUpstream) -> Unit) =
    withEngines(null to script) { caller, upstreams -> test(caller, upstreams[0]) }

private fun RawCaller.exchange(text: String): RawCaller.Response {
    send(text)
    return readResponse().shouldNotBeNull()
}

private fun RawCaller.Response.shouldBeAnswerTo(id: String) {
    status shouldBe 200
    body shouldBe "answer to $id"
    isComplete shouldBe true
}

/** The response to a caller that waits for a second request while [first] is written, and then gets its own answer. */
private fun secondOfTwoPipelined(first: String): RawCaller.Response {
    lateinit var second: RawCaller.Response
    val script: (FakeUpstream.Call) -> Unit = { call ->
        if (call.id == "1") {
            call.write(first)
        } else {
            Thread.sleep(100)
            call.answerWithId()
        }
    }
    withUpstream(script) { caller, _ ->
        caller.send(request("1") + request("2"))
        caller.readResponse().shouldNotBeNull().shouldBeAnswerTo("1")
        second = caller.readResponse().shouldNotBeNull()
    }
    return second
}

class StutteringUpstreamTest :
    DescribeSpec({
        describe("what follows the complete answer to a request in the same write") {
            // Guards against a connection that is reused before everything received on it was decoded.
            it("is not the answer to a request that waits, if it bears no request id") {
                secondOfTwoPipelined(answer("1", "answer to 1") + answer(null, "again")).shouldBeAnswerTo("2")
            }
            it("is not the answer to a request that waits, if it bears the id of that request") {
                secondOfTwoPipelined(answer("1", "answer to 1") + answer("2", "again")).shouldBeAnswerTo("2")
            }
            it("does not delay a request that waits, if it is the beginning of an answer") {
                secondOfTwoPipelined(answer("1", "answer to 1") + "HTTP/1.1 200 O").shouldBeAnswerTo("2")
            }
            it("does not fail a request that waits, if it is no answer") {
                secondOfTwoPipelined(answer("1", "answer to 1") + "garbage garbage\r\n\r\n").shouldBeAnswerTo("2")
            }
            it("leaves the connection in use if there is nothing") {
                withUpstream({ it.answerWithId() }) { caller, upstream ->
                    caller.send(request("1") + request("2") + request("3"))
                    listOf("1", "2", "3").forEach { caller.readResponse().shouldNotBeNull().shouldBeAnswerTo(it) }
                    upstream.calls.last().numberOnConnection shouldBe 2
                }
            }
        }

        describe("a late second answer to an earlier request, before the answer to the current one") {
            it("is skipped if it bears the id of the earlier request") {
                withUpstream(lateThenOwn(answer("1", "late"))) { caller, upstream ->
                    listOf("1", "2", "3").forEach { caller.exchange(request(it)).shouldBeAnswerTo(it) }
                    upstream.calls.last().numberOnConnection shouldBe 2
                }
            }
            // Guards against an answer without a request id that is taken for the current request's.
            it("is not forwarded if it bears no request id") {
                withUpstream(lateThenOwn(answer(null, "late"))) { caller, _ ->
                    caller.exchange(request("1")).shouldBeAnswerTo("1")
                    caller.exchange(request("2")).status shouldBe UNKNOWN_OUTCOME
                }
            }
            // Guards against a refusal to another request that makes a request that may run count as not run.
            it("does not count as a refusal of the current request if it bears no request id") {
                val refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                withUpstream(lateThenOwn(refusal)) { caller, _ ->
                    caller.exchange(request("1")).shouldBeAnswerTo("1")
                    caller.exchange(request("2")).status shouldBe UNKNOWN_OUTCOME
                }
            }
            it("does not reach the current request if the upstream never sends request ids") {
                val script: (FakeUpstream.Call) -> Unit = { call ->
                    if (call.numberOnConnection > 0) call.write(answer(null, "late"))
                    call.write(answer(null, "answer to ${call.id}"))
                }
                withUpstream(script) { caller, _ ->
                    listOf("1", "2", "3").forEach { caller.exchange(request(it)).shouldBeAnswerTo(it) }
                }
            }
            // Guards against two requests with one id on one connection, whose answers can't be told apart.
            it("does not reach a repeat of the earlier request with the same id") {
                val runs = AtomicInteger()
                val script: (FakeUpstream.Call) -> Unit = { call ->
                    if (call.numberOnConnection > 0) call.write(answer("1", "run 1"))
                    call.write(answer("1", "run ${runs.incrementAndGet()}"))
                }
                withUpstream(script) { caller, _ ->
                    caller.exchange(request("1")).body shouldBe "run 1"
                    caller.exchange(request("1")).body shouldBe "run 2"
                }
            }
            // Guards against an answer that can't be delimited, which hides the current request's until the time limit.
            it("ends the request at once as an unknown outcome if it has no length") {
                withUpstream(lateThenOwn(unframedAnswer("1", "late"))) { caller, _ ->
                    caller.exchange(request("1")).shouldBeAnswerTo("1")
                    measureTimeMillis {
                        caller.exchange(request("2")).status shouldBe UNKNOWN_OUTCOME
                    } shouldBeLessThan AT_ONCE_MILLIS
                }
            }
            it("does not reach the current request if it is cut short") {
                withUpstream(lateThenOwn(answer("1", "late", length = 60))) { caller, _ ->
                    caller.exchange(request("1")).shouldBeAnswerTo("1")
                    caller.exchange(request("2")).status shouldBe UNKNOWN_OUTCOME
                }
            }
            it("does not reach the current request if it is chunked and cut short") {
                val late = "${OK_LINE}X-Id: 1\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nlate"
                withUpstream(lateThenOwn(late)) { caller, _ ->
                    caller.exchange(request("1")).shouldBeAnswerTo("1")
                    caller.exchange(request("2")).status shouldBe UNKNOWN_OUTCOME
                }
            }
        }

        describe("a late second answer within or after the answer to the current request") {
            it("does not become part of a chunked answer") {
                val begin = "${OK_LINE}X-Id: 2\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nansw"
                val script: (FakeUpstream.Call) -> Unit = { call ->
                    if (call.id ==
                        "1"
                    ) {
                        call.answerWithId()
                    } else {
                        call.write(begin + answer("1", "late") + "r\r\n0\r\n\r\n")
                    }
                }
                withUpstream(script) { caller, _ ->
                    caller.exchange(request("1")).shouldBeAnswerTo("1")
                    caller.exchange(request("2")).status shouldBe UNKNOWN_OUTCOME
                }
            }
            it("does not reach the next request") {
                val script: (FakeUpstream.Call) -> Unit = { call ->
                    call.answerWithId()
                    Thread.sleep(50)
                    call.write(answer(null, "late"))
                }
                withUpstream(script) { caller, _ ->
                    listOf("1", "2", "3").forEach {
                        caller.exchange(request(it)).shouldBeAnswerTo(it)
                        Thread.sleep(100)
                    }
                }
            }
        }

        describe("a late second answer to a request of another method") {
            // Guards against a skipped answer that is decoded with the method of the current request.
            it("is skipped without the next bytes if it answers a HEAD request") {
                withUpstream({ call ->
                    val head = answer("1", "", length = 200)
                    if (call.id == "1") call.write(head) else call.write(head + answer("2", "answer to 2"))
                }) { caller, _ ->
                    caller.exchange(request("1", method = "HEAD")).status shouldBe 200
                    caller.exchange(request("2")).shouldBeAnswerTo("2")
                }
            }
            it("is skipped with its body if the current request is a HEAD request") {
                val withinBody = answer("2", "", statusLine = "HTTP/1.1 202 Accepted\r\n")
                withUpstream({ call ->
                    if (call.id == "1") {
                        call.answerWithId()
                    } else {
                        call.write(answer("1", withinBody) + answer("2", "", length = 11))
                    }
                }) { caller, _ ->
                    caller.exchange(request("1")).shouldBeAnswerTo("1")
                    caller.exchange(request("2", method = "HEAD")).status shouldBe 200
                }
            }
        }

        describe("an answer that is delimited in an unusual way") {
            it("with two lengths, or a length and chunks, is not forwarded") {
                val head = "${OK_LINE}X-Id: 1\r\nX-Signed: s\r\n"
                listOf(
                    "${head}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
                    "${head}Content-Length: 5, 6\r\n\r\nhello!",
                    "${head}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                    "${head}Content-Length: -5\r\n\r\nhello",
                ).forEach { text ->
                    withUpstream({ it.write(text) }) { caller, _ ->
                        caller.exchange(request("1")).status shouldBe UNKNOWN_OUTCOME
                    }
                }
            }
            listOf("204 No Content", "304 Not Modified").forEach { status ->
                it("has no body if its status is $status, and what follows it does not reach the next request") {
                    val odd = answer("1", answer("2", "within"), "HTTP/1.1 $status\r\n")
                    withUpstream({ call ->
                        if (call.id ==
                            "1"
                        ) {
                            call.write(odd)
                        } else {
                            call.answerWithId()
                        }
                    }) { caller, _ ->
                        caller.send(request("1") + request("2", headers = "Connection: close\r\n"))
                        val received = caller.readToEnd()
                        received shouldStartWith "HTTP/1.1 $status\r\n"
                        received shouldEndWith "answer to 2"
                        received shouldNotContain "within"
                    }
                }
            }
            it("is forwarded after interim answers, also on a connection in use") {
                withUpstream({ call ->
                    call.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
                    call.answerWithId()
                }) { caller, upstream ->
                    listOf("1", "2").forEach { caller.exchange(request(it)).shouldBeAnswerTo(it) }
                    upstream.calls.last().numberOnConnection shouldBe 1
                }
            }
        }

        describe("a prefill engine that answers twice") {
            fun decode(call: FakeUpstream.Call) {
                val source = call.head.substringAfter("X-Cache: ", missingDelimiterValue = "self/handle-${call.id}")
                val handle = source.substringBefore("\r\n").substringAfter("/")
                call.write(answer(call.id, "id: 1\ndata: $handle\n\n"))
            }

            fun prefillAnswer(call: FakeUpstream.Call, bearsId: Boolean) =
                answer(call.id.takeIf { bearsId }, "handle-${call.id}")

            // Guards against a request that goes on from the KV cache of another request.
            it("never makes a request go on from another request's handle") {
                listOf(true to true, true to false, false to false).forEach { (bearsId, lateBearsId) ->
                    val prefill: (FakeUpstream.Call) -> Unit = { call ->
                        val previous = (call.id.toInt() - 1).toString()
                        val late = answer(previous.takeIf { lateBearsId }, "handle-$previous")
                        if (call.numberOnConnection > 0) call.write(late)
                        call.write(prefillAnswer(call, bearsId))
                    }
                    withEngines(EngineStage.PREFILL to prefill, EngineStage.DECODE to ::decode) { caller, _ ->
                        val answers = (1..4).associateWith { caller.exchange(request("$it", "/s/x")) }
                        answers.filterValues { it.status == 200 }.forEach { (id, answer) ->
                            answer.body shouldBe "id: 1\ndata: handle-$id\n\n"
                        }
                        answers.getValue(1).status shouldBe 200
                        if (bearsId == lateBearsId) answers.values.map { it.status } shouldBe List(4) { 200 }
                    }
                }
            }
            it("keeps its connection if its answers bear request ids") {
                withEngines(
                    EngineStage.PREFILL to { it.write(prefillAnswer(it, bearsId = true)) },
                    EngineStage.DECODE to ::decode,
                ) { caller, upstreams ->
                    (1..3).forEach { caller.exchange(request("$it", "/s/x")).status shouldBe 200 }
                    upstreams[0].calls.map { it.numberOnConnection } shouldBe listOf(0, 1, 2)
                }
            }
            // Guards against the answer to the release of a KV cache that is taken for the next prefill's.
            it("does not shift the answers of later requests when a KV cache is released") {
                val prefill: (FakeUpstream.Call) -> Unit = { call ->
                    if (call.head.startsWith("DELETE")) {
                        call.write(answer("1", "handle-1"))
                        Thread.sleep(100)
                        call.write(answer(null, "released"))
                    } else {
                        call.write(prefillAnswer(call, bearsId = true))
                    }
                }
                val failFirst: (FakeUpstream.Call) -> Unit = { call ->
                    if (call.id == "1") call.respond("failed", "500 Internal Server Error") else decode(call)
                }
                withEngines(EngineStage.PREFILL to prefill, EngineStage.DECODE to failFirst) { caller, upstreams ->
                    caller.exchange(request("1", "/s/x")).status shouldBe 500
                    val second = caller.exchange(request("2", "/s/x"))
                    second.body shouldNotContain "released"
                    second.body shouldBe "id: 1\ndata: handle-2\n\n"
                    upstreams[0].calls.single { it.head.startsWith("DELETE") }.head shouldStartWith
                        "DELETE /cache/handle-1 "
                }
            }
        }
    })
