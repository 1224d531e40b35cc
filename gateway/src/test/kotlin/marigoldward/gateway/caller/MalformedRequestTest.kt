package marigoldward.gateway.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.TestGateway
import marigoldward.gateway.session.MALFORMED_FIELDS

private const val HEAD = "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n"

private val MALFORMED_REQUESTS: Map<String, String> = buildMap {
    MALFORMED_FIELDS.forEach { (name, line) ->
        put("a field with $name", "${HEAD}$line\r\nContent-Length: 2\r\n\r\n{}")
        put("a last field with $name", "${HEAD}Content-Length: 2\r\n$line\r\n\r\n{}")
        put("a trailer with $name", "${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n$line\r\n\r\n")
    }
    put("a control byte in its target", HEAD.replace("/i/x", "/i/\u0001x") + "\r\n")
    put("a control byte in a chunk size", "${HEAD}Transfer-Encoding: chunked\r\n\r\n2\u0001\r\n{}\r\n0\r\n\r\n")
}

class MalformedRequestTest :
    DescribeSpec({
        // Guards against a request with a malformed line that reaches an upstream, with that line or another body.
        describe("a request") {
            MALFORMED_REQUESTS.forEach { (name, text) ->
                it("is rejected with $name") {
                    FakeUpstream { it.respond("ok") }.use { upstream ->
                        TestGateway(listOf(upstream.address to null)).use { gateway ->
                            gateway.caller().use { caller ->
                                caller.send(text)
                                caller.readResponse()?.status shouldBe 400
                                caller.isClosed() shouldBe true
                            }
                        }
                        upstream.calls.shouldBeEmpty()
                    }
                }
            }
            it("is forwarded with chunk extensions and trailers") {
                FakeUpstream { it.respond("ok") }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        gateway.caller().use { caller ->
                            repeat(2) {
                                val head = "${HEAD}Transfer-Encoding: chunked\r\n\r\n"
                                caller.send("${head}2;a=b\r\n{}\r\n0\r\nX-T: 1\r\n\r\n")
                                caller.readResponse()?.status shouldBe 200
                            }
                        }
                    }
                    upstream.calls.map { String(it.body) } shouldBe listOf("{}", "{}")
                }
            }
        }
    })
