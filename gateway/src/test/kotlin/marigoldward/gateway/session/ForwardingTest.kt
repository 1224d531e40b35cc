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
            it("reaches the upstream with its target, headers and body as they came") {
                withUpstreams({ it.respond("done") }) { caller, upstreams ->
                    val target = "/i/a%7E/..//b%2F;x=1?q=%41&&r"
                    caller.request(post(target, "\u0000\u00ff{}", headers = "X-Odd: \u00e4 b\r\n")).body shouldBe "done"
                    val call = upstreams[0].calls.single()
                    call.head shouldStartWith "POST $target HTTP/1.1\r\n"
                    call.head shouldContain "X-Odd: \u00e4 b\r\n"
                    call.body.toString(Charsets.ISO_8859_1) shouldBe "\u0000\u00ff{}"
                }
            }
            it("is forwarded without the headers that concern one connection") {
                withUpstreams({ it.respond("done") }) { caller, upstreams ->
                    caller.request(
                        get("/i/x", headers = "Connection: X-Mine, keep-alive\r\nX-Mine: 1\r\nTE: trailers\r\n"),
                    )
                    upstreams[0].calls.single().head shouldNotContain "X-Mine"
                }
            }
            it("in chunks arrives whole") {
                withUpstreams({ it.respond("done") }) { caller, upstreams ->
                    caller.request(
                        "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                    )
                    upstreams[0].calls.single().body.decodeToString() shouldBe "abcde"
                }
            }
            it("follows another on the same connection") {
                withUpstreams({ it.respond("answer to ${it.id}") }) { caller, upstreams ->
                    caller.request(get("/i/x", "1")).body shouldBe "answer to 1"
                    caller.request(get("/i/x", "2")).body shouldBe "answer to 2"
                    upstreams[0].calls.last().numberOnConnection shouldBe 1
                }
            }
            it("that is sent before the answer to the one before it waits for its turn") {
                withUpstreams({ it.respond("answer to ${it.id}") }) { caller, _ ->
                    caller.send(get("/i/x", "1") + get("/i/x", "2"))
                    caller.readResponse()?.body shouldBe "answer to 1"
                    caller.readResponse()?.body shouldBe "answer to 2"
                }
            }
        }

        describe("a request that could be understood in two ways is refused and not forwarded") {
            mapOf(
                "both a length and chunks" to
                    "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n" +
                    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "two lengths" to
                    "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n" +
                    "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcde",
                "an unknown encoding" to
                    "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "no host" to "GET /i/x HTTP/1.1\r\nX-Id: 1\r\n\r\n",
                "two hosts" to "GET /i/x HTTP/1.1\r\nHost: h.example\r\nHost: g.example\r\nX-Id: 1\r\n\r\n",
                "a full URL" to
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
            it("but what stands in a body is a body") {
                withUpstreams({ it.respond("done") }) { caller, upstreams ->
                    caller.request(post("/i/x", get("/i/y", "2")))
                    upstreams[0].calls.map { it.id } shouldBe listOf("1")
                }
            }
            it("or whose head is too large") {
                withUpstreams({ it.respond("done") }) { caller, _ ->
                    caller.request(get("/i/x", headers = "X-Big: ${"a".repeat(20_000)}\r\n")).status shouldBe 431
                }
            }
        }

        describe("a host or path without a route") {
            it("is not found") {
                withUpstreams({ it.respond("done") }) { caller, _ ->
                    caller.request(get("/other/x")).status shouldBe 404
                    caller.request("GET /i/x HTTP/1.1\r\nHost: other.example\r\nX-Id: 1\r\n\r\n").status shouldBe 404
                }
            }
            it("is not denied before the first configuration: the caller comes again") {
                TestGateway(emptyList(), isConfigured = false).use { gateway ->
                    gateway.caller().use { caller ->
                        val response = caller.request(get("/other/x"))
                        response.status shouldBe 503
                        response.head shouldContain "Retry-After: "
                    }
                }
            }
        }

        describe("an answer that is not the upstream's to this request") {
            it("is skipped if it is late and for another one") {
                withUpstreams({ call ->
                    call.write("HTTP/1.1 200 OK\r\nX-Id: old\r\nX-Signed: s\r\nContent-Length: 3\r\n\r\nold")
                    call.respond("mine")
                }) { caller, _ -> caller.request(get("/n/x")).body shouldBe "mine" }
            }
            it("does not reach the next request if it follows a whole answer") {
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
            it("becomes an unknown outcome if it bears no signature, is cut or is no answer") {
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
            it("never makes it look as if the request had not run") {
                withUpstreams({ it.respond("busy", "503 Service Unavailable") }) { caller, _ ->
                    caller.request(post("/n/x", "b")).status shouldBe 502
                }
            }
        }

        describe("a request that may be repeated") {
            it("is answered by another upstream if the first breaks off") {
                val script = firstThenOthers(
                    { call -> call.reset() },
                    { call -> call.respond("second") },
                )
                withUpstreams(script, script) { caller, _ -> caller.request(get("/i/x")).body shouldBe "second" }
            }
            it("gets the upstream's own failure if the other fails as well") {
                val script: (FakeUpstream.Call) -> Unit = { it.respond("failed", "500 Internal Server Error") }
                withUpstreams(script, script) { caller, upstreams ->
                    val response = caller.request(get("/i/x"))
                    response.status shouldBe 500
                    response.head shouldContain "X-Signed: s"
                    upstreams.sumOf { it.calls.size } shouldBe 2
                }
            }
            it("is sent elsewhere when its answer is long overdue") {
                val script = firstThenOthers({ }, { it.respond("second") })
                withUpstreams(script, script) { caller, _ -> caller.request(get("/i/x")).body shouldBe "second" }
            }
        }

        describe("a request that must not run twice") {
            it("is never sent again once it was sent") {
                val script: (FakeUpstream.Call) -> Unit = { it.reset() }
                withUpstreams(script, script) { caller, upstreams ->
                    caller.request(post("/n/x", "b")).status shouldBe 502
                    upstreams.sumOf { it.calls.size } shouldBe 1
                }
            }
            it("goes elsewhere if an upstream said that it did not run it") {
                val script = firstThenOthers(
                    { call -> call.respond("", "503 Service Unavailable", "X-Not-Run: 1\r\n") },
                    { call -> call.respond("done") },
                )
                withUpstreams(script, script) { caller, _ -> caller.request(post("/n/x", "b")).body shouldBe "done" }
            }
            it("is refused as not run, with a time to come again, if no upstream is reached") {
                TestGateway(listOf(UNUSED_ADDRESS to null)).use { gateway ->
                    gateway.caller().use { caller ->
                        val response = caller.request(post("/n/x", "b"))
                        response.status shouldBe 503
                        response.head shouldContain "Retry-After: 0."
                    }
                }
            }
            it("times out as an unknown outcome at its route's limit") {
                withUpstreams({ }) { caller, upstreams ->
                    caller.request(post("/n/x", "b")).status shouldBe 504
                    upstreams[0].awaitClosed() shouldBe "1"
                }
            }
        }

        describe("a caller that leaves") {
            it("frees the upstream at once") {
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

        describe("a draining entry") {
            it("answers on kept connections and says that they end") {
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
