package marigoldward.support.time

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class TimerServiceTest :
    DescribeSpec({
        // A subscriber that threw once was never called again, and nothing was logged.
        describe("a subscriber that throws") {
            it("is called again after its period") {
                TimerService.start().use { timer ->
                    val calls = CountDownLatch(3)
                    timer.subscribe(10) {
                        calls.countDown()
                        error("no value")
                    }
                    calls.await(3, TimeUnit.SECONDS) shouldBe true
                }
            }
        }
    })
