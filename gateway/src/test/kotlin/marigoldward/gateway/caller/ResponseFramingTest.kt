package marigoldward.gateway.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.TestGateway

private fun request(method: String, id: String, headers: String = ""): String =
    "$method /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\n$headers\r\n"

/**
 * Sends [first] and a request "2" on one connection, and returns all that came on it. The upstream answers any request
 * but "2" with [firstAnswer].
 */
private fun exchange(first: String, firstAnswer: (FakeUpstream.Call) -> Unit): String =
    FakeUpstream { if (it.id == "2") it.respond("answer to 2") else firstAnswer(it) }.use { upstream ->
        TestGateway(listOf(upstream.address to null)).use { gateway ->
            gateway.caller().use { caller ->
                caller.send(first + request("GET", "2", "Connection: close\r\n"))
                caller.readToEnd()
            }
        }
    }

private fun statusLines(text: String): List<String> = Regex("HTTP/1.1 .*").findAll(text).map { it.value }.toList()

class ResponseFramingTest :
    DescribeSpec({
        // Guards against bytes of one response that the caller takes for the beginning of the next.
        describe("a response without a body is followed by the next response") {
            mapOf(
                "to HEAD" to
                    (
                        "HEAD" to { call: FakeUpstream.Call ->
                            call.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\nContent-Length: 5\r\n\r\n")
                        }
                        ),
                "to HEAD, announced as chunked" to
                    (
                        "HEAD" to { call: FakeUpstream.Call ->
                            call.write(
                                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                            )
                        }
                        ),
                "with 204" to
                    (
                        "GET" to { call: FakeUpstream.Call ->
                            call.write("HTTP/1.1 204 No Content\r\nX-Id: 1\r\nX-Signed: s\r\n\r\n")
                        }
                        ),
                "with 304" to
                    (
                        "GET" to { call: FakeUpstream.Call ->
                            call.write(
                                "HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\nX-Signed: s\r\nContent-Length: 5\r\n\r\n",
                            )
                        }
                        ),
            ).forEach { (name, case) ->
                it(name) {
                    val text = exchange(request(case.first, "1"), case.second)
                    statusLines(text) shouldHaveSize 2
                    text shouldEndWith "\r\n\r\nanswer to 2"
                    val second = text.substring(text.lastIndexOf("HTTP/1.1 "))
                    text.removeSuffix(second) shouldEndWith "\r\n\r\n"
                }
            }
        }
        // Guards against what holds between upstream and gateway being told to callers.
        it("the upstream's own framing and connection headers do not reach the caller") {
            val text = exchange(request("GET", "1")) { call ->
                call.write(
                    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n" +
                        "Keep-Alive: timeout=1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                        "3;extension=1\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n",
                )
                call.socket.close()
            }
            statusLines(text) shouldBe listOf("HTTP/1.1 200 OK", "HTTP/1.1 200 OK")
            val first = text.substring(0, text.lastIndexOf("HTTP/1.1 "))
            first shouldStartWith "HTTP/1.1 200 OK\r\n"
            first shouldEndWith "\r\n\r\nabc"
            listOf("X-Hop", "Keep-Alive", "Transfer-Encoding", "Connection", "X-Trailer").forEach { name ->
                first shouldNotContain name
            }
        }
    })
