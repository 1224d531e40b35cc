package marigoldward.bench.system

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.bench.KnownRed
import java.net.Socket

/** Returns how many requests have reached the engine. */
private fun InProcessSystem.engineStarts(): Int =
    Regex("\\{\"id\":\"oblikovalec-1\",\"count\":(\\d+)}").find(observed())?.groupValues?.get(1)?.toInt() ?: 0

private fun InProcessSystem.openCompletion(tokens: Int): Socket {
    val body = """{"model":"oblikovalec","stream":true,"max_tokens":$tokens,"prompt":"draft a vase"}"""
    val head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n\r\n"
    return Socket("127.0.0.1", callerPort).apply { getOutputStream().write((head + body).toByteArray()) }
}

class AbandonedCompletionTest :
    DescribeSpec({
        // Undertow does not report a caller's close while a request waits, so it is sent when the engine has room.
        describe("a completion whose caller has left") {
            it("is not sent to an engine after it waited for one").config(tags = setOf(KnownRed)) {
                InProcessSystem("slots = 1\n        decode_tokens_per_second = 200").use { system ->
                    val before = system.engineStarts()
                    system.openCompletion(tokens = 400).use { running ->
                        running.getInputStream().read()
                        system.openCompletion(tokens = 5).use { Thread.sleep(300) }
                        running.getInputStream().readNBytes(20_000)
                        Thread.sleep(1_000)
                        system.engineStarts() - before shouldBe 1
                    }
                }
            }
        }
    })
