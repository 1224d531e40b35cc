package marigoldward.gateway.session

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import marigoldward.core.dispatch.Dispatcher
import marigoldward.core.dispatch.PlacementCosts
import marigoldward.core.dispatch.RetryBudgetShare
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.routes.RequestKind
import marigoldward.core.routes.Route
import marigoldward.core.routes.ServiceDeclaration
import marigoldward.core.routes.ServiceShare
import marigoldward.gateway.TestDialect
import marigoldward.gateway.caller.CallerExchange
import marigoldward.gateway.caller.CallerRequest
import marigoldward.gateway.message.Headers
import marigoldward.gateway.message.RequestHead
import marigoldward.gateway.message.ResponseHead
import marigoldward.gateway.upstream.UpstreamPool
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit

private const val WAITING = 4_000
private const val LONG_TOKENS = 6_000
private const val REMAINING_MILLIS = 10_000_000L

/** The stack of the event loop's thread in the deployed program. */
private const val STACK_BYTES = 262_144L
private val SERVICE = PoolName.parse("service")

private val ROUTE = Route(
    name = "route",
    host = "h.example",
    pathPrefix = "/",
    kind = RequestKind.STREAM,
    shares = listOf(ServiceShare(SERVICE, 1)),
    timeoutMillis = REMAINING_MILLIS,
    targetLatencyMillis = REMAINING_MILLIS,
    targetGapMillis = 200,
    priority = 1,
    maxAttempts = 2,
    isResumable = false,
    hasPrompts = true,
)

private class UnusedExchange : CallerExchange {
    override val request =
        CallerRequest(RequestHead("POST", "/", Headers.EMPTY), ByteArray(0), 0, isBodyDropped = false)
    override var onCallerGone: () -> Unit = {}
    override val isWritable: Boolean = true
    override var onWritable: () -> Unit = {}

    override fun respond(head: ResponseHead, body: ByteArray) = Unit

    override fun beginResponse(head: ResponseHead) = Unit

    override fun sendPart(data: ByteArray) = Unit

    override fun endResponse() = Unit

    override fun abort() = Unit
}

private fun newContext(loop: EventLoop): SessionContext {
    val dispatcher = Dispatcher(DataCentre.parse("here"), PlacementCosts.DEFAULT, 1)
    val pool = UpstreamPool(loop, TestDialect)
    return SessionContext(
        loop,
        TestDialect,
        dispatcher,
        pool,
        CrashSuspicions(),
        newRetryBudget = { RetryBudgetShare(0.2, 64, 10_000) },
        budgetSharerCount = { 1 },
    )
}

private fun newRequest(): SessionRequest {
    val exchange = UnusedExchange()
    val metadata = TestDialect.readRequest(exchange.request.head)
    return SessionRequest("1", exchange, metadata, ROUTE, ServiceDeclaration(SERVICE, 100, null), REMAINING_MILLIS)
}

class LongPromptAdmissionTest :
    DescribeSpec({
        // Guards against requests without an end: each request that ended at once started the next one on its own stack.
        describe("a long queue whose requests all end as soon as they are admitted") {
            it("is admitted to its end") {
                val group = NioEventLoopGroup(1, ThreadFactory { Thread(null, it, "loop", STACK_BYTES) })
                val context = newContext(group.next())
                val admitted = CountDownLatch(WAITING)
                group.submit {
                    val first = LongPromptAdmission(context, newRequest()) {}
                    first.requestAdmission(LONG_TOKENS, REMAINING_MILLIS) shouldBe LongPromptAdmission.Result.Admitted
                    repeat(WAITING) {
                        lateinit var admission: LongPromptAdmission
                        admission = LongPromptAdmission(context, newRequest()) {
                            admitted.countDown()
                            admission.release()
                        }
                        admission.requestAdmission(LONG_TOKENS, REMAINING_MILLIS) shouldBe
                            LongPromptAdmission.Result.Queued
                    }
                    first.release()
                }.get()
                admitted.await(10, TimeUnit.SECONDS) shouldBe true
                group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
            }
        }
    })
