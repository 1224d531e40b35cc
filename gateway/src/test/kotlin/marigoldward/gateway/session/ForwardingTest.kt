package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import marigoldward.gateway.firstThenOthers

private const val UNUSED_ADDRESS = "127.0.0.1:1"

private fun get(path: String, id: String = "1", headers: String = ""): String =
    "GET $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\n$headers\r\n"

private fun post(path: String, body: String, id: String = "1", headers: String = ""): String =
    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\nContent-Length: ${body.length}\r\n$headers\r\n$body"

/** Runs [test] with a caller of a gateway in front of one plain upstream for each of [scripts]. */
private fun withUpstreams(vararg scripts: (FakeUpstream.Call) -> Unit, test: (RawCaller, List<FakeUpstream>) -> Unit) {
    val upstreams = scripts.map(::FakeUpstream)
    TestGateway(upstreams.map { it.address to null }).use { gateway ->
        gateway.caller().use { test(it, upstreams) }
    }
    upstreams.forEach(FakeUpstream::close)
}

private fun RawCaller.request(text: String): RawCaller.Response {
    send(text)
    return readResponse().shouldNotBeNull()
}

class ForwardingTest :
    DescribeSpec({
        describe("a request") {
            it("is forwarded with its target, headers and body unchanged") {
                withUpstreams({ it.respond("done") }) { caller, upstreams ->
                    val target = "/i/a%7E/..//b%2F;x=1?q=%41&&r"
                    caller.request(post(target, "\u0000\u00ff{}", headers = "X-Odd: \u00e4 b\r\n")).body shouldBe "done"
                    val call = upstreams[0].calls.single()
                    call.head shouldStartWith "POST $target HTTP/1.1\r\n"
                    call.head shouldContain "X-Odd: \u00e4 b\r\n"
                    call.body.toString(Charsets.ISO_8859_1) shouldBe "\u0000\u00ff{}"
                }
            }
            it("is forwarded without hop-by-hop headers") {
                withUpstreams({ it.respond("done") }) { caller, upstreams ->
                    caller.request(
                        get("/i/x", headers = "Connection: X-Mine, keep-alive\r\nX-Mine: 1\r\nTE: trailers\r\n"),
                    )
                    upstreams[0].calls.single().head shouldNotContain "X-Mine"
                }
            }
            it("with a chunked body is forwarded completely") {
                withUpstreams({ it.respond("done") }) { caller, upstreams ->
                    caller.request(
                        "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                    )
                    upstreams[0].calls.single().body.decodeToString() shouldBe "abcde"
                }
            }
            it("reuses the connection of an earlier request to the upstream") {
                withUpstreams({ it.respond("answer to ${it.id}") }) { caller, upstreams ->
                    caller.request(get("/i/x", "1")).body shouldBe "answer to 1"
                    caller.request(get("/i/x", "2")).body shouldBe "answer to 2"
                    upstreams[0].calls.last().numberOnConnection shouldBe 1
                }
            }
            // A request that failed inside the gateway got the end of its connection in place of an answer.
            it("that fails inside the gateway gets an answer that promises nothing, and others are served") {
                FakeUpstream { it.respond("done") }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        gateway.caller().use { failing ->
                            gateway.caller().use { sound ->
                                gateway.onLoop {
                                    failing.send(get(TestGateway.FAILING_PATH, "1"))
                                    sound.send(get("/i/x", "2"))
                                }
                                val answer = failing.readResponse().shouldNotBeNull()
                                answer.status shouldBe 502
                                answer.body shouldBe ""
                                failing.request(get("/i/x", "3")).body shouldBe "done"
                                sound.readResponse().shouldNotBeNull().body shouldBe "done"
                            }
                        }
                    }
                }
            }
            it("that is pipelined is answered after the one before it") {
                withUpstreams({ it.respond("answer to ${it.id}") }) { caller, _ ->
                    caller.send(get("/i/x", "1") + get("/i/x", "2"))
                    caller.readResponse()?.body shouldBe "answer to 1"
                    caller.readResponse()?.body shouldBe "answer to 2"
                }
            }
        }

        describe("a malformed or ambiguous request is rejected and not forwarded") {
            mapOf(
                "both Content-Length and Transfer-Encoding" to
                    "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n" +
                    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "two Content-Length headers" to
                    "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n" +
                    "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcde",
                "an unknown Transfer-Encoding" to
                    "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "no Host header" to "GET /i/x HTTP/1.1\r\nX-Id: 1\r\n\r\n",
                "two Host headers" to "GET /i/x HTTP/1.1\r\nHost: h.example\r\nHost: g.example\r\nX-Id: 1\r\n\r\n",
                "a target that is a full URL" to
                    "GET http://h.example/i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n\r\n",
            ).forEach { (name, text) ->
                it(name) {
                    withUpstreams({ it.respond("done") }) { caller, upstreams ->
                        caller.request(text).status shouldBe 400
                        caller.isClosed() shouldBe true
                        upstreams[0].calls.size shouldBe 0
                    }
                }
            }
            it("but a body that looks like a request is only a body") {
                withUpstreams({ it.respond("done") }) { caller, upstreams ->
                    caller.request(post("/i/x", get("/i/y", "2")))
                    upstreams[0].calls.map { it.id } shouldBe listOf("1")
                }
            }
            it("a head that is too large") {
                withUpstreams({ it.respond("done") }) { caller, _ ->
                    caller.request(get("/i/x", headers = "X-Big: ${"a".repeat(20_000)}\r\n")).status shouldBe 431
                }
            }
        }

        describe("a host or path that matches no route") {
            it("is rejected with 404") {
                withUpstreams({ it.respond("done") }) { caller, _ ->
                    caller.request(get("/other/x")).status shouldBe 404
                    caller.request("GET /i/x HTTP/1.1\r\nHost: other.example\r\nX-Id: 1\r\n\r\n").status shouldBe 404
                }
            }
            it("is answered with 503 and Retry-After before the first configuration") {
                TestGateway(emptyList(), isConfigured = false).use { gateway ->
                    gateway.caller().use { caller ->
                        val response = caller.request(get("/other/x"))
                        response.status shouldBe 503
                        response.head shouldContain "Retry-After: "
                    }
                }
            }
        }

        describe("a response that is not a valid response to the request") {
            it("is skipped if it is a late response to another request") {
                withUpstreams({ call ->
                    call.write("HTTP/1.1 200 OK\r\nX-Id: old\r\nX-Signed: s\r\nContent-Length: 3\r\n\r\nold")
                    call.respond("mine")
                }) { caller, _ -> caller.request(get("/n/x")).body shouldBe "mine" }
            }
            it("does not reach the next request if it follows a complete response") {
                withUpstreams({ call ->
                    call.respond("first")
                    if (call.numberOnConnection == 0) call.respond("again")
                }) { caller, upstreams ->
                    caller.request(get("/n/x", "1")).body shouldBe "first"
                    Thread.sleep(50)
                    caller.request(get("/n/x", "2")).body shouldBe "first"
                    upstreams[0].calls.last().numberOnConnection shouldBe 0
                }
            }
            it("ends as an unknown outcome if it is unsigned, incomplete, malformed or content-encoded") {
                listOf<(FakeUpstream.Call) -> Unit>(
                    { it.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok") },
                    {
                        it.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\nContent-Length: 20\r\n\r\nshort")
                        it.socket.close()
                    },
                    { it.write("garbage garbage\r\n\r\n") },
                    { it.reset() },
                    { it.respond("x", headers = "Content-Encoding: gzip\r\n") },
                ).forEach { script ->
                    withUpstreams(script) { caller, _ -> caller.request(post("/n/x", "b")).status shouldBe 502 }
                }
            }
            it("is not forwarded if its status would tell the caller that the request did not run") {
                withUpstreams({ it.respond("busy", "503 Service Unavailable") }) { caller, _ ->
                    caller.request(post("/n/x", "b")).status shouldBe 502
                }
            }
        }

        describe("a repeatable request") {
            it("is retried on another upstream if the first closes the connection") {
                val script = firstThenOthers(
                    { call -> call.reset() },
                    { call -> call.respond("second") },
                )
                withUpstreams(script, script) { caller, _ -> caller.request(get("/i/x")).body shouldBe "second" }
            }
            it("gets the server error of an upstream if the retry fails as well") {
                val script: (FakeUpstream.Call) -> Unit = { it.respond("failed", "500 Internal Server Error") }
                withUpstreams(script, script) { caller, upstreams ->
                    val response = caller.request(get("/i/x"))
                    response.status shouldBe 500
                    response.head shouldContain "X-Signed: s"
                    upstreams.sumOf { it.calls.size } shouldBe 2
                }
            }
            it("is retried on another upstream when its response is overdue") {
                val script = firstThenOthers({ }, { it.respond("second") })
                withUpstreams(script, script) { caller, _ -> caller.request(get("/i/x")).body shouldBe "second" }
            }
        }

        describe("a non-idempotent request") {
            it("is not retried once it may have run") {
                val script: (FakeUpstream.Call) -> Unit = { it.reset() }
                withUpstreams(script, script) { caller, upstreams ->
                    caller.request(post("/n/x", "b")).status shouldBe 502
                    upstreams.sumOf { it.calls.size } shouldBe 1
                }
            }
            it("is retried on another upstream if the first reports that it did not run it") {
                val script = firstThenOthers(
                    { call -> call.respond("", "503 Service Unavailable", "X-Not-Run: 1\r\n") },
                    { call -> call.respond("done") },
                )
                withUpstreams(script, script) { caller, _ -> caller.request(post("/n/x", "b")).body shouldBe "done" }
            }
            it("ends as not run, with Retry-After, if no upstream is reachable") {
                TestGateway(listOf(UNUSED_ADDRESS to null)).use { gateway ->
                    gateway.caller().use { caller ->
                        val response = caller.request(post("/n/x", "b"))
                        response.status shouldBe 503
                        response.head shouldContain "Retry-After: 0."
                    }
                }
            }
            it("times out at the limit of its route, and its connection to the upstream is closed") {
                withUpstreams({ }) { caller, upstreams ->
                    caller.request(post("/n/x", "b")).status shouldBe 504
                    upstreams[0].awaitClosed() shouldBe "1"
                }
            }
        }

        describe("a caller that closes its connection") {
            it("causes the connection to the upstream to be closed at once") {
                withUpstreams({ }) { caller, upstreams ->
                    caller.send(post("/n/x", "b"))
                    while (upstreams[0].calls.isEmpty()) Thread.sleep(5)
                    val closedMillis = System.nanoTime() / 1_000_000
                    caller.close()
                    upstreams[0].awaitClosed() shouldBe "1"
                    (System.nanoTime() / 1_000_000 - closedMillis < 400) shouldBe true
                }
            }
        }

        describe("a draining gateway") {
            it("answers on open connections with Connection: close, and closes them") {
                val upstream = FakeUpstream { it.respond("done") }
                TestGateway(listOf(upstream.address to null)).use { gateway ->
                    gateway.caller().use { caller ->
                        caller.request(get("/i/x"))
                        gateway.server.isDraining = true
                        val last = caller.request(get("/i/x", "2"))
                        last.body shouldBe "done"
                        last.head shouldContain "Connection: close"
                        caller.readResponse().shouldBeNull()
                    }
                }
                upstream.close()
            }
        }
    })
