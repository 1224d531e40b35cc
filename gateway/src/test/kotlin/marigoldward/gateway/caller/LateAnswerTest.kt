package marigoldward.gateway.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.netty.channel.nio.NioEventLoopGroup
import marigoldward.core.routes.CallerLimits
import marigoldward.gateway.RawCaller
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.ResponseHead
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

private val OK = ResponseHead(200, Headers.EMPTY)

private fun request(path: String): String = "GET $path HTTP/1.1\r\nHost: h.example\r\n\r\n"

class LateAnswerTest :
    DescribeSpec({
        // Guards against a session that answers again writing into the exchange after its own.
        describe("a second answer to a request that has been answered") {
            mapOf<String, (CallerExchange) -> Unit>(
                "that is whole" to { it.respond(OK, "late".toByteArray()) },
                "that is a stream" to {
                    it.beginResponse(OK)
                    it.sendPart("late".toByteArray())
                    it.endResponse()
                },
                "that is broken off" to { it.abort() },
            ).forEach { (name, answerAgain) ->
                it("$name leaves the next request of the connection alone") {
                    val group = NioEventLoopGroup(1)
                    val exchanges = CopyOnWriteArrayList<CallerExchange>()
                    val server =
                        CallerServer(group.next(), { CallerLimits.DEFAULT }, RequestMemory.ofHeap(), exchanges::add)
                    server.start(InetSocketAddress("127.0.0.1", 0))
                    RawCaller(server.port).use { caller ->
                        caller.send(request("/first") + request("/second"))
                        while (exchanges.isEmpty()) Thread.sleep(5)
                        group.submit { exchanges[0].respond(OK, "first".toByteArray()) }.get()
                        while (exchanges.size < 2) Thread.sleep(5)
                        group.submit { answerAgain(exchanges[0]) }.get()
                        group.submit { exchanges[1].respond(OK, "second".toByteArray()) }.get()
                        caller.readResponse().shouldNotBeNull().body shouldBe "first"
                        caller.readResponse().shouldNotBeNull().body shouldBe "second"
                    }
                    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
                }
            }
        }
    })
