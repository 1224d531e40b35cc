package marigoldward.gateway.session

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import marigoldward.core.workspaces.KeyDigest
import marigoldward.core.workspaces.Workspace
import marigoldward.core.workspaces.WorkspaceName
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.RawCaller
import marigoldward.gateway.TestGateway
import marigoldward.support.metrics.MetricsPage
import org.slf4j.LoggerFactory

private const val KEY = "kn2ftimaj3nr26tta828"
private val WORKSPACE = Workspace(WorkspaceName.parse("w1"), setOfNotNull(KeyDigest.ofOrNull(KEY)), priority = null)

private fun TestGateway.responseTo(path: String, headers: String = ""): RawCaller.Response = caller().use {
    it.send("GET $path HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n$headers\r\n")
    it.readResponse().shouldNotBeNull()
}

private fun withGateway(isConfigured: Boolean = true, test: (TestGateway, FakeUpstream) -> Unit) {
    FakeUpstream { it.respond("done") }.use { upstream ->
        TestGateway(listOf(upstream.address to null), isConfigured, workspaces = listOf(WORKSPACE)).use { gateway ->
            test(gateway, upstream)
        }
    }
}

class WorkspaceAccessTest :
    DescribeSpec({
        describe("a gateway whose configuration has workspaces") {
            it("serves a request with a key of a workspace, and counts it") {
                withGateway { gateway, _ ->
                    gateway.responseTo("/i/x", "X-Key: $KEY\r\n").status shouldBe 200
                    MetricsPage.current().text shouldContain "workspace=\"w1\""
                }
            }
            // Guards against a request that is forwarded without a valid key.
            it("responds with 401 to any other, and forwards none of them") {
                withGateway { gateway, upstream ->
                    val others = listOf(
                        "",
                        "X-Key: \r\n",
                        "X-Key: other\r\n",
                        "X-Key: $KEY$KEY\r\n",
                        "X-Key: $KEY\r\nX-Key: $KEY\r\n",
                        "X-Key: ${"k".repeat(10_000)}\r\n",
                    )
                    others.map { gateway.responseTo("/i/x", it).status }.toSet() shouldBe setOf(401)
                    upstream.calls.shouldBeEmpty()
                    gateway.responseTo("/p/x").status shouldBe 200
                }
            }
            // Guards against a head that takes memory without a bound.
            it("responds with 431 to a key of 100 KB") {
                withGateway { gateway, _ ->
                    gateway.responseTo("/i/x", "X-Key: ${"k".repeat(100_000)}\r\n").status shouldBe 431
                    gateway.responseTo("/i/x", "X-Key: $KEY\r\n").status shouldBe 200
                }
            }
            it("responds with 503 as long as it has no configuration") {
                withGateway(isConfigured = false) { gateway, _ ->
                    listOf("/i/x", "/p/x", "/none/x").forEach { gateway.responseTo(it).status shouldBe 503 }
                }
            }
        }
        describe("a gateway whose configuration is not confirmed") {
            // Guards against a revoked key that is accepted, and a new key that gets 401 because it isn't known yet.
            it("refuses requests with any key as not run, and serves those on public routes") {
                withGateway { gateway, upstream ->
                    gateway.isConfirmed = false
                    listOf(KEY, "other").forEach { key ->
                        val response = gateway.responseTo("/i/x", "X-Key: $key\r\n")
                        response.status shouldBe 503
                        response.head shouldContain "Retry-After: 0.500"
                    }
                    gateway.responseTo("/i/x").status shouldBe 401
                    upstream.calls.shouldBeEmpty()
                    gateway.responseTo("/p/x", "X-Key: $KEY\r\n").status shouldBe 200
                    gateway.isConfirmed = true
                    gateway.responseTo("/i/x", "X-Key: $KEY\r\n").status shouldBe 200
                }
            }
        }
        describe("the log and the metrics of a gateway") {
            // Guards against a key that is shown to everyone who reads logs or metrics.
            it("have no key, whatever the outcome of a request with one") {
                val logger = LoggerFactory.getLogger("marigoldward") as Logger
                val lines = ListAppender<ILoggingEvent>().apply { context = logger.loggerContext }
                lines.start()
                logger.addAppender(lines)
                try {
                    withGateway { gateway, _ ->
                        listOf("/i/x", "/p/x", "/none/x", TestGateway.FAILING_PATH).forEach { path ->
                            listOf("X-Key: $KEY", "X-Key: $KEY-x", "X-Key: $KEY\r\nX-Key: $KEY").forEach {
                                gateway.responseTo(path, "$it\r\n").body shouldNotContain KEY
                            }
                        }
                        gateway.isConfirmed = false
                        gateway.responseTo("/i/x", "X-Key: $KEY\r\n").body shouldNotContain KEY
                        val malformed =
                            listOf("X-Key: $KEY\u0000", "X-Key$KEY\u0001: x", "$KEY", ": $KEY", "X-Key $KEY: x")
                        malformed.forEach { gateway.responseTo("/i/x", "$it\r\n").body shouldNotContain KEY }
                    }
                    lines.list.toList().map { it.formattedMessage }.filter { KEY in it }.shouldBeEmpty()
                } finally {
                    logger.detachAppender(lines)
                }
                MetricsPage.current().text shouldNotContain KEY
            }
        }
    })
