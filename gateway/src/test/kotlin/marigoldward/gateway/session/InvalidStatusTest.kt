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

/** Status lines that no HTTP response has. */
private val INVALID_STATUSES = listOf("000 OK", "0 OK", "99 OK", "600 OK", "1000 OK", "-200 OK", "2xx OK", "OK", "")

private fun send(path: String, vararg upstreams: Pair<String, EngineStage?>): RawCaller.Response =
    TestGateway(upstreams.toList()).use { gateway ->
        gateway.caller().use { caller ->
            val head = "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Prompt: p\r\n"
            caller.send("${head}Content-Length: 2\r\n\r\n{}")
            caller.readResponse().shouldNotBeNull()
        }
    }

class InvalidStatusTest :
    DescribeSpec({
        listOf("/n/x" to null, "/s/x" to EngineStage.DECODE).forEach { (path, stage) ->
            // An answer with the status 000 was forwarded to the caller.
            describe("an answer whose status is none of HTTP, at $path") {
                INVALID_STATUSES.forEach { status ->
                    it("is not forwarded: \"$status\"") {
                        FakeUpstream { it.respond(SOUND, status) }.use { upstream ->
                            send(path, upstream.address to stage).status shouldBe 502
                        }
                    }
                }
            }
        }
        describe("an answer with the status 000 to a request that may run twice") {
            it("is replaced by that of another upstream") {
                val script = firstThenOthers({ it.respond(SOUND, "000 OK") }, { it.respond(SOUND) })
                val upstreams = List(2) { FakeUpstream(script) }
                val response = send("/i/x", *upstreams.map { it.address to null }.toTypedArray())
                upstreams.forEach(FakeUpstream::close)
                response.status shouldBe 200
            }
        }
    })
