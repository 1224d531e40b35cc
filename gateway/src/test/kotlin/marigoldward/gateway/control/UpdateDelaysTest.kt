package marigoldward.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.wire.feed.SendingTime

private const val CLOCK_ID = 7L
private const val HEARTBEAT_MILLIS = 500L

/** The clock of the sender is this much ahead of that of the receiver. */
private const val AHEAD_MILLIS = 70_000L

/** The delays of updates on one stream that are sent and received at times of the receiver's clock. */
private class TimedUpdates(streamOpenedMillis: Long) {
    private val delays = UpdateDelays(streamOpenedMillis)

    fun delayMillis(sent: Long, received: Long, clockId: Long = CLOCK_ID): Long =
        delays.delayMillis(SendingTime(clockId, sent + AHEAD_MILLIS), received)
}

class UpdateDelaysTest :
    DescribeSpec({
        describe("the delay of an update") {
            it("is the time by which it came later than the fastest one before") {
                val updates = TimedUpdates(streamOpenedMillis = 0)
                updates.delayMillis(sent = 10, received = 20) shouldBe 0
                updates.delayMillis(sent = 500, received = 2_010) shouldBe 1_500
                updates.delayMillis(sent = 2_500, received = 2_510) shouldBe 0
            }
            // Guards against an entry that was frozen and takes the updates of that time for fresh.
            it("grows with the age of each update that waited while the receiver was frozen for a minute") {
                val updates = TimedUpdates(streamOpenedMillis = 0)
                (0L..5_000 step HEARTBEAT_MILLIS).forEach { updates.delayMillis(sent = it, received = it) }
                (5_500L..65_000 step HEARTBEAT_MILLIS).forEach {
                    updates.delayMillis(sent = it, received = 65_000) shouldBe 65_000 - it
                }
            }
            // Guards against the first update of a stream that was opened before a freeze, taken for fresh after it.
            it("is the time since the stream was opened for a first update that comes after a second or later") {
                TimedUpdates(streamOpenedMillis = 0).delayMillis(sent = 10, received = 4_000) shouldBe 4_000
                TimedUpdates(streamOpenedMillis = 0).delayMillis(sent = 10, received = 999) shouldBe 0
            }
            // Guards against an entry that follows a frozen instance because its updates waited behind a late first one.
            it("grows with the age of each update that waited behind a late first one") {
                val updates = TimedUpdates(streamOpenedMillis = 0)
                updates.delayMillis(sent = 50, received = 4_000) shouldBe 4_000
                updates.delayMillis(sent = 450, received = 4_000) shouldBe 3_600
                updates.delayMillis(sent = 850, received = 4_000) shouldBe 3_200
                updates.delayMillis(sent = 4_050, received = 4_050) shouldBe 50
            }
            // Guards against an entry without fresh state for ten seconds after a machine of control was suspended.
            it("is that of a new stream alone after the sender's clock stood still") {
                val updates = TimedUpdates(streamOpenedMillis = 0)
                updates.delayMillis(sent = 0, received = 0)
                updates.delayMillis(sent = 500, received = 8_500) shouldBe 8_000
                val onNewStream = TimedUpdates(streamOpenedMillis = 8_590)
                onNewStream.delayMillis(sent = 600, received = 8_600) shouldBe 0
                onNewStream.delayMillis(sent = 1_790, received = 9_790) shouldBe 0
                onNewStream.delayMillis(sent = 2_190, received = 12_190) shouldBe 2_000
            }
            it("is told apart by sender") {
                val updates = TimedUpdates(streamOpenedMillis = 0)
                updates.delayMillis(sent = 0, received = 0)
                updates.delayMillis(sent = 10, received = 900, clockId = 8) shouldBe 0
            }
            it("is 0 if the sender doesn't tell the time") {
                UpdateDelays(streamOpenedMillis = 0).delayMillis(sentAt = null, receivedMillis = 5_000) shouldBe 0
            }
        }
    })
