package marigoldward.gateway.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.TestGateway

private const val HEAD = "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n"
private const val SMUGGLED = "GET /i/y HTTP/1.1\r\nHost: h.example\r\nX-Id: smuggled\r\n\r\n"

class AmbiguousRequestTest :
    DescribeSpec({
        // Guards against the rest of a request being taken as another request that no caller sent.
        describe("a request whose end is ambiguous is rejected, and nothing of it is forwarded") {
            mapOf(
                "a length with a sign" to "${HEAD}Content-Length: +2\r\n\r\nab$SMUGGLED",
                "a negative length" to "${HEAD}Content-Length: -1\r\n\r\n$SMUGGLED",
                "a length that is a list" to "${HEAD}Content-Length: 0, 2\r\n\r\nab$SMUGGLED",
                "a length that is empty" to "${HEAD}Content-Length: \r\n\r\n$SMUGGLED",
                "a space before the colon of a header" to
                    "${HEAD}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n$SMUGGLED",
                "two Transfer-Encoding headers" to
                    "${HEAD}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n$SMUGGLED",
                "a chunk size with a prefix" to "${HEAD}Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n$SMUGGLED",
                "a chunk size with a sign" to "${HEAD}Transfer-Encoding: chunked\r\n\r\n+0\r\n\r\n$SMUGGLED",
                "a chunk extension with a bare LF" to
                    "${HEAD}Transfer-Encoding: chunked\r\n\r\n0;a\nb\r\n\r\n$SMUGGLED",
                "a chunk that is longer than its size" to
                    "${HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n$SMUGGLED",
            ).forEach { (name, text) ->
                it(name) {
                    FakeUpstream { it.respond("answer to ${it.id}") }.use { upstream ->
                        TestGateway(listOf(upstream.address to null)).use { gateway ->
                            gateway.caller().use { caller ->
                                caller.send(text)
                                caller.readResponse()?.status shouldBe 400
                                caller.isClosed() shouldBe true
                            }
                        }
                        upstream.calls.map { it.id } shouldBe emptyList()
                    }
                }
            }
        }
        // Guards against bytes after a body that some readers take as a request. RFC 9112, section 6.1, lets it be served.
        it("what follows a chunked request before HTTP/1.1 is not taken as a request") {
            FakeUpstream { it.respond("answer to ${it.id}") }.use { upstream ->
                TestGateway(listOf(upstream.address to null)).use { gateway ->
                    gateway.caller().use { caller ->
                        val head = HEAD.replace("HTTP/1.1", "HTTP/1.0")
                        caller.send(
                            "${head}Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n$SMUGGLED",
                        )
                        caller.readResponse()?.body shouldBe "answer to 1"
                        caller.isClosed() shouldBe true
                    }
                }
                upstream.calls.map { it.id } shouldBe listOf("1")
            }
        }
        // Guards against the body of a rejected request being taken as a request.
        it("the rest of a request with a body that is too long is not taken as a request") {
            FakeUpstream { it.respond("answer to ${it.id}") }.use { upstream ->
                TestGateway(listOf(upstream.address to null)).use { gateway ->
                    gateway.caller().use { caller ->
                        val length = 4 * 1024 * 1024 + SMUGGLED.length + 1
                        caller.send(
                            "${HEAD}Content-Length: $length\r\n\r\n" + SMUGGLED.repeat(length / SMUGGLED.length),
                        )
                        caller.readResponse()?.status shouldBe 413
                        caller.isClosed() shouldBe true
                    }
                }
                upstream.calls.map { it.id } shouldBe emptyList()
            }
        }
    })
