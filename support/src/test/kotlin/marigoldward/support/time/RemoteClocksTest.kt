package marigoldward.support.time

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class RemoteClocksTest :
    DescribeSpec({
        describe("the time of a message on the clock of another process") {
            it("is the time at which the first message came") {
                RemoteClocks().toLocalMillis(1, sentMillis = 70_000, receivedMillis = 100) shouldBe 100L
            }
            it("is not the time at which a late message came, if an earlier or later one was faster") {
                val clocks = RemoteClocks()
                clocks.toLocalMillis(1, 70_000, 100)
                clocks.toLocalMillis(1, 70_500, 4_000) shouldBe 600L
                clocks.toLocalMillis(1, 74_000, 4_090) shouldBe 4_090L
                clocks.toLocalMillis(1, 74_500, 4_600) shouldBe 4_590L
            }
            it("is told apart by clock") {
                val clocks = RemoteClocks()
                clocks.toLocalMillis(1, 70_000, 100)
                clocks.toLocalMillis(2, 3, 1_000) shouldBe 1_000L
                clocks.toLocalMillis(1, 70_500, 4_000) shouldBe 600L
            }
            it("follows a clock that runs slower than this one") {
                val clocks = RemoteClocks()
                (0L..40).forEach { minute ->
                    val receivedMillis = minute * 60_000
                    val localMillis = clocks.toLocalMillis(1, receivedMillis * 999 / 1_000, receivedMillis)
                    (receivedMillis - localMillis <= 120) shouldBe true
                }
            }
            // Lists of a control instance whose machine had been suspended were taken for outdated for two minutes.
            it("is right again ten seconds after the other machine was suspended") {
                val clocks = RemoteClocks()
                val suspendedMillis = 8_000L
                (0L..5_000 step 500).forEach { clocks.toLocalMillis(1, it, it) }
                val resumedMillis = 5_000 + suspendedMillis
                (resumedMillis..resumedMillis + 10_500 step 500).forEach {
                    clocks.toLocalMillis(1, it - suspendedMillis, it)
                }
                val receivedMillis = resumedMillis + 11_000
                clocks.toLocalMillis(1, receivedMillis - suspendedMillis, receivedMillis) shouldBe receivedMillis
            }
            it("is dated by the messages before a long silence") {
                val clocks = RemoteClocks()
                clocks.toLocalMillis(1, 0, 0)
                clocks.toLocalMillis(1, 500, 500_000) shouldBe 500L
            }
            it("is kept for the clocks that were used last") {
                val clocks = RemoteClocks()
                (0L until 40).forEach { clocks.toLocalMillis(it, 0, 100) }
                clocks.toLocalMillis(39, 0, 900) shouldBe 100L
                clocks.toLocalMillis(0, 0, 900) shouldBe 900L
            }
        }
    })
