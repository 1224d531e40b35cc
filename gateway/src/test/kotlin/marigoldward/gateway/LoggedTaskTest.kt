package marigoldward.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.channel.nio.NioEventLoopGroup
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class LoggedTaskTest :
    DescribeSpec({
        // Guards against a repeated task, such as the one that follows a control instance, that ends with one failure.
        describe("a repeated task that fails") {
            it("is run again, and its failures are counted") {
                val group = NioEventLoopGroup(1)
                val failedBefore = GatewayMetrics.failedTasks.get()
                val runs = CountDownLatch(3)
                val task = loggedTask {
                    runs.countDown()
                    error("a fault of the gateway")
                }
                group.next().scheduleWithFixedDelay(task, 0, 1, TimeUnit.MILLISECONDS)
                runs.await(3, TimeUnit.SECONDS) shouldBe true
                group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
                GatewayMetrics.failedTasks.get() - failedBefore shouldBeGreaterThanOrEqual 3.0
            }
        }
    })
