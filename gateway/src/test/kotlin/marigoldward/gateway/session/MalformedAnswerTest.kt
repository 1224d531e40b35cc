package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.EngineStage
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import marigoldward.gateway.firstThenOthers

private const val SOUND = "id: 1\ndata: sound\n\n"
private const val BROKEN = "id: 1\ndata: broken\n\n"

/** Lines that are no field of a message, by what is wrong with them. */
internal val MALFORMED_FIELDS = mapOf(
    "a blank in a name" to "X Y: 1",
    "a blank at the end of a name" to "X-Y : 1",
    "a blank at the beginning of a name" to " X-Y: 1",
    "a tab in a name" to "X\tY: 1",
    "a control byte in a name" to "X\u0001Y: 1",
    "a zero byte in a name" to "X\u0000Y: 1",
    "a delete byte in a name" to "X\u007fY: 1",
    "a byte beyond ASCII in a name" to "X\u00e9Y: 1",
    "a bracket in a name" to "X(Y): 1",
    "a carriage return in a name" to "X\rY: 1",
    "no name" to ": 1",
    "no colon" to "X-Y",
    "a length with a blank in its name" to "Content Length: 1",
    "a blank after the name of an encoding" to "Transfer-Encoding : chunked",
    "a control byte in a value" to "X-Y: a\u0001b",
    "a zero byte in a value" to "X-Y: a\u0000b",
    "a carriage return in a value" to "X-Y: a\rb",
    "a value on two lines" to "X-Y: a\r\n b",
)

private val MALFORMED_STATUS_LINES = mapOf(
    "a control byte before it" to "\u0001HTTP/1.1 200 OK",
    "a blank before it" to " HTTP/1.1 200 OK",
    "a control byte in its reason" to "HTTP/1.1 200 O\u0001K",
    "a zero byte after its status" to "HTTP/1.1 200\u0000 OK",
    "a tab before its status" to "HTTP/1.1\t200 OK",
    "two blanks before its status" to "HTTP/1.1  200 OK",
    "another protocol" to "HTCPCP/1.0 200 OK",
    "a version that HTTP/1 doesn't have" to "HTTP/9.9 200 OK",
)

private fun FakeUpstream.Call.write(statusLine: String, fields: String, body: String) =
    write("$statusLine\r\nX-Id: $id\r\nX-Signed: s\r\n$fields\r\n$body")

private fun chunked(trailer: String = "", size: String = "${Integer.toHexString(BROKEN.length)}") =
    "$size\r\n$BROKEN\r\n0\r\n$trailer\r\n"

/** Answers of an engine in trouble, by what is wrong with them. */
private val MALFORMED_ANSWERS: Map<String, (FakeUpstream.Call) -> Unit> = buildMap {
    MALFORMED_FIELDS.forEach { (name, line) ->
        put("a field with $name") {
            it.write("HTTP/1.1 200 OK", "$line\r\nContent-Length: ${BROKEN.length}\r\n", BROKEN)
        }
        put("a last field with $name") {
            it.write("HTTP/1.1 200 OK", "Content-Length: ${BROKEN.length}\r\n$line\r\n", BROKEN)
        }
        put("a field with $name and a body that ends with the connection") {
            it.write("HTTP/1.1 200 OK", "$line\r\n", BROKEN)
            it.socket.close()
        }
        put("a trailer with $name") {
            it.write("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", chunked("$line\r\n"))
        }
        put("an interim head with $name") {
            it.write("HTTP/1.1 103 Early Hints\r\n$line\r\n\r\n")
            it.respond(BROKEN)
        }
    }
    MALFORMED_STATUS_LINES.forEach { (name, line) ->
        put("a status line with $name") { it.write(line, "Content-Length: ${BROKEN.length}\r\n", BROKEN) }
    }
    listOf("\u000113", "13\u0001", "1 3", "0x13").forEach { size ->
        put("the chunk size ${size.map { it.code }}") {
            it.write("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", chunked(size = size))
        }
    }
}

private fun RawCaller.ask(path: String): RawCaller.Response {
    send("POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Prompt: p\r\nContent-Length: 2\r\n\r\n{}")
    return readResponse().shouldNotBeNull()
}

class MalformedAnswerTest :
    DescribeSpec({
        // Guards against an answer with a malformed line that reaches a caller, with that line or another body.
        describe("an answer to a request that may run once") {
            MALFORMED_ANSWERS.forEach { (name, answer) ->
                it("is not forwarded with $name") {
                    FakeUpstream(answer).use { upstream ->
                        TestGateway(listOf(upstream.address to null)).use { gateway ->
                            gateway.caller().use { it.ask("/n/x").status shouldBe 502 }
                        }
                    }
                }
            }
        }
        describe("an answer to a request that may run twice") {
            MALFORMED_ANSWERS.forEach { (name, answer) ->
                it("is replaced by that of another upstream with $name") {
                    val script = firstThenOthers(answer) { it.respond(SOUND) }
                    val upstreams = List(2) { FakeUpstream(script) }
                    TestGateway(upstreams.map { it.address to null }).use { gateway ->
                        gateway.caller().use { it.ask("/i/x").body shouldBe SOUND }
                    }
                    upstreams.forEach(FakeUpstream::close)
                }
            }
        }
        describe("a stream") {
            MALFORMED_ANSWERS.forEach { (name, answer) ->
                it("does not end as a complete one with $name") {
                    FakeUpstream(answer).use { upstream ->
                        TestGateway(listOf(upstream.address to EngineStage.DECODE)).use { gateway ->
                            gateway.caller().use { caller ->
                                val response = caller.ask("/s/x")
                                (response.status == 200 && response.isComplete) shouldBe false
                            }
                        }
                    }
                }
            }
        }
        describe("a well-formed answer") {
            it("may have any other byte in the value of a field, an empty value and white space around it") {
                val fields = "X-A: \u00e9\t~\r\nX-B:\r\nX-C:c  \r\n!#$%&'*+-.^_`|~09: d\r\n"
                FakeUpstream { it.respond(SOUND, headers = fields) }.use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        gateway.caller().use { caller ->
                            val response = caller.ask("/n/x")
                            response.status shouldBe 200
                            response.body shouldBe SOUND
                            ("!#$%&'*+-.^_`|~09: d" in response.head) shouldBe true
                        }
                    }
                }
            }
            it("may have chunks with extensions, trailers and an interim answer before it") {
                val body = "${Integer.toHexString(SOUND.length)};a=b\r\n$SOUND\r\n00;c\r\nX-T: 1\r\nX-U:\r\n\r\n"
                val answer: (FakeUpstream.Call) -> Unit = {
                    it.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
                    it.write("HTTP/1.1 200", "Transfer-Encoding: chunked\r\n", body)
                }
                FakeUpstream(answer).use { upstream ->
                    TestGateway(listOf(upstream.address to null)).use { gateway ->
                        gateway.caller().use { caller ->
                            repeat(2) { caller.ask("/n/x").body shouldBe SOUND }
                        }
                    }
                }
            }
        }
    })
