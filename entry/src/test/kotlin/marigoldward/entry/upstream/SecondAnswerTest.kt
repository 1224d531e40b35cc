package marigoldward.entry.upstream

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.JsonObject
import marigoldward.core.Outcome
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.RequestId
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.UpstreamInfo
import okhttp3.Headers
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

private fun answer(status: String, headers: String, body: String): String =
    "HTTP/1.1 $status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"

/**
 * An upstream on which each connection gets [ownAnswer] to a request, and after it, late, [secondAnswer]. Both are given
 * the id of the request.
 */
private class StutteringUpstream(
    private val ownAnswer: (String) -> String,
    private val secondAnswer: (String) -> String,
) : AutoCloseable {
    private val server = ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))
    val info = UpstreamInfo(
        UpstreamId.parse("upstream-1"),
        PoolName.parse("pool"),
        DataCentre.parse("here"),
        "127.0.0.1:${server.localPort}",
        isLeaving = false,
    )

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    private fun serve(socket: Socket) {
        while (true) {
            val head = readRequest(socket.getInputStream()) ?: return
            val id = Regex("(?i)x-request-id: (\\S+)").find(head)?.groupValues?.get(1).orEmpty()
            socket.getOutputStream().write(ownAnswer(id).toByteArray())
            Thread.sleep(50)
            socket.getOutputStream().write(secondAnswer(id).toByteArray())
        }
    }

    private fun readRequest(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        input.readNBytes(length)
        return head.toString()
    }

    override fun close() = server.close()
}

private fun serviceCall(id: String) = ServiceClient.ServiceCall(
    id = RequestId.parseOrNull(id).shouldNotBeNull(),
    method = "GET",
    pathAndQuery = "/x",
    headers = Headers.headersOf(),
    contentType = null,
    body = ByteArray(0),
    isRepeatable = true,
    timeoutMillis = 2_000,
)

private fun engineAttempt(id: String) = EngineClient.Attempt(
    id = RequestId.parseOrNull(id).shouldNotBeNull(),
    path = "/v1/completions",
    body = JsonObject(emptyMap()),
    priorityRank = 0,
    deliveredTokens = 0,
    timeoutMillis = 2_000,
)

/** Sends the calls "r1" and "r2" to [upstream], one after the other with a pause, and returns the second outcome. */
private fun <T> secondOutcome(upstream: StutteringUpstream, send: (UpstreamClients, String) -> T): T = upstream.use {
    UpstreamClients().use { clients ->
        send(clients, "r1")
        Thread.sleep(150)
        send(clients, "r2")
    }
}

private fun detector(clients: UpstreamClients) = CrashDetector(clients, KnownIncarnations())

class SecondAnswerTest :
    DescribeSpec({
        // Guards against the late second answer to one call being read as the answer to the next on its connection.
        describe("a call after one that was answered twice") {
            it("to a service gets its own answer, also if answers have no id") {
                val text = { id: String -> answer("200 OK", "", "answer to $id") }
                val upstream = StutteringUpstream(text, text)
                val outcome = secondOutcome(upstream) { clients, id ->
                    ServiceClient(clients, detector(clients)).send(upstream.info, serviceCall(id))
                }
                outcome.shouldBeInstanceOf<Outcome.Success<ServiceClient.ServiceAnswer>>()
                    .value.body.decodeToString() shouldBe "answer to r2"
            }
            it("to an engine gets its own rejection, also if rejections have no id") {
                val text = { id: String -> answer("400 Bad Request", "", "rejection of $id") }
                val upstream = StutteringUpstream(text, text)
                val outcome = secondOutcome(upstream) { clients, id ->
                    EngineClient(clients, detector(clients)).startAnswer(upstream.info, engineAttempt(id), null) {}
                }
                outcome.shouldBeInstanceOf<Outcome.Failure<AttemptFailure>>().error shouldBe
                    AttemptFailure.Rejected(400, "rejection of r2")
            }
        }
        // Guards against a request that ran being sent again, as another one was declared not to have run.
        describe("an answer with the id of another request") {
            val notRun = { _: String -> answer("503 Busy", "X-Not-Run: true\r\nX-Request-Id: other\r\n", "") }

            it("of a service does not say that the request did not run") {
                StutteringUpstream(notRun, notRun).use { upstream ->
                    UpstreamClients().use { clients ->
                        ServiceClient(clients, detector(clients)).send(upstream.info, serviceCall("r1"))
                            .shouldBeInstanceOf<Outcome.Failure<AttemptFailure>>()
                            .error.shouldBeInstanceOf<AttemptFailure.Broken>()
                    }
                }
            }
            it("of an engine does not say that the request did not run") {
                StutteringUpstream(notRun, notRun).use { upstream ->
                    UpstreamClients().use { clients ->
                        EngineClient(clients, detector(clients)).startAnswer(upstream.info, engineAttempt("r1"), null) {
                        }
                            .shouldBeInstanceOf<Outcome.Failure<AttemptFailure>>()
                            .error.shouldBeInstanceOf<AttemptFailure.Broken>()
                    }
                }
            }
        }
    })
