package marigoldward.bench.system

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import marigoldward.bench.client.CallerClient
import marigoldward.bench.client.CompletionRequest
import marigoldward.standin.AnswerText
import java.net.Socket
import java.net.URI

private const val CHAT = "/v1/chat/completions"
private const val MESSAGES = """"messages":[{"role":"user","content":"draft a vase"}]"""

class CallerApiTest :
    DescribeSpec({
        val system = InProcessSystem()
        afterSpec { system.close() }

        describe("an answer") {
            it("is streamed to the caller while the engine generates it") {
                val connection = URI("${system.callerUrl}$CHAT").toURL().openConnection()
                connection.doOutput = true
                val body = """{"model":"oblikovalec","stream":true,"max_tokens":100,$MESSAGES}"""
                connection.getOutputStream().use { it.write(body.toByteArray()) }
                val reader = connection.getInputStream().bufferedReader()
                reader.readLine() shouldContain "chat.completion.chunk"
                val reportAfterFirstToken = system.observed()
                val startNanos = System.nanoTime()
                reader.readText() shouldContain "[DONE]"
                (System.nanoTime() - startNanos) / 1_000_000 shouldBeGreaterThan 300L
                reportAfterFirstToken shouldContain "starts"
            }
            it("is sent in one piece if the request does not ask for a stream") {
                val answer = system.post(
                    "/v1/completions",
                    """{"model":"oblikovalec","prompt":"draft a vase","max_tokens":3}""",
                )
                answer.statusCode shouldBe 200
                answer.text shouldContain AnswerText.answer("draft a vase", 3)
                answer.text shouldContain "\"completion_tokens\":3"
            }
            it("omits parts that belong to other requests or were sent before") {
                CallerClient.create().use { client ->
                    system.injectFault("oblikovalec-1", "doubled")
                    val request = CompletionRequest("oblikovalec", "draft a bowl", 5, "standard", "test")
                    client.complete("127.0.0.1:${system.callerPort}", request).isRight shouldBe true
                    system.injectFault("oblikovalec-1", "crossed")
                    val crossed = system.post(CHAT, """{"model":"oblikovalec","max_tokens":2,$MESSAGES}""")
                    crossed.statusCode shouldBe 502
                    crossed.outcome shouldBe "unknown"
                    system.injectFault("oblikovalec-1", "normal")
                    system.metrics() shouldContain "marigoldward_answer_parts_dropped_total{reason=\"crossed\"}"
                }
                system.eventually {
                    system.post(CHAT, """{"model":"oblikovalec","max_tokens":2,$MESSAGES}""").statusCode == 200
                }
            }
        }
        describe("an invalid request") {
            it("is rejected with a 4xx status and the name of the field") {
                val invalidBodies = mapOf(
                    "body" to "{",
                    "model" to "{$MESSAGES}",
                    "messages" to """{"model":"oblikovalec","messages":[]}""",
                    "max_tokens" to """{"model":"oblikovalec","max_tokens":0,$MESSAGES}""",
                    "stream" to """{"model":"oblikovalec","stream":3,$MESSAGES}""",
                )
                invalidBodies.forEach { (field, body) ->
                    val answer = system.post(CHAT, body)
                    answer.statusCode shouldBe 400
                    answer.outcome shouldBe "invalid"
                    answer.text shouldContain "\"detail\":\"$field\""
                }
                system.post(CHAT, """{"model":"none",$MESSAGES}""").statusCode shouldBe 404
                system.post("/nowhere", "").statusCode shouldBe 404
            }
            it("is rejected with 400 and the name of an invalid header, or with 413 if the body is too large") {
                val body = """{"model":"oblikovalec",$MESSAGES}"""
                system.post(CHAT, body, mapOf("X-Priority-Class" to "vip")).text shouldContain
                    "header \\\"X-Priority-Class\\\" has the value \\\"vip\\\"; use one of urgent, standard, routine"
                system.post(CHAT, body, mapOf("X-Caller" to "a b")).statusCode shouldBe 400
                system.post(CHAT, "x".repeat(20_001)).statusCode shouldBe 413
            }
        }
        describe("a caller that closes its connection") {
            it("has its request cancelled at the engine") {
                val body = """{"model":"oblikovalec","stream":true,"max_tokens":2000,$MESSAGES}"""
                Socket("127.0.0.1", system.callerPort).use { socket ->
                    val head = "POST $CHAT HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n\r\n"
                    socket.getOutputStream().write((head + body).toByteArray())
                    socket.getInputStream().read()
                }
                system.eventually { Regex("\"cancelled\":[1-9]").containsMatchIn(system.observed()) }
            }
        }
        describe("the operators' interface") {
            it("requires the key except for health and readiness") {
                system.get("${system.operatorUrl}/health") shouldBe 200
                system.get("${system.operatorUrl}/metrics") shouldBe 401
                system.get("${system.operatorUrl}/metrics", "wrong") shouldBe 401
                system.get("${system.operatorUrl}/metrics", InProcessSystem.KEY) shouldBe 200
            }
            it("explains the events of a request without showing the key") {
                val answer = system.post(CHAT, """{"model":"oblikovalec","max_tokens":1,$MESSAGES}""")
                val connection = URI("${system.operatorUrl}/explain?id=${answer.requestId}").toURL().openConnection()
                connection.setRequestProperty("Authorization", "Bearer ${InProcessSystem.KEY}")
                val text = connection.getInputStream().readBytes().toString(Charsets.UTF_8)
                text shouldContain "event=dispatched attempt=1 upstream=oblikovalec-1"
                text shouldNotContain InProcessSystem.KEY
            }
        }
        describe("a booking") {
            it("is forwarded to its service, and a retry under the same key gets the same answer") {
                val headers = mapOf("Idempotency-Key" to "k1")
                system.post("/rezervacije/slots", "slot-9", headers).text shouldBe "booked slot-9\n"
                system.post("/rezervacije/slots", "slot-9", headers).text shouldBe "booked slot-9\n"
                system.observed() shouldContain """{"id":"slot-9","count":1}"""
            }
        }
    })
