package marigoldward.core.workspaces

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import marigoldward.core.time.ClockReading
import kotlin.random.Random

private const val REVOCATION_MILLIS = 5_000L
private const val SCHEDULES = 400

private fun reading(monotonic: Long, epoch: Long = monotonic) = ClockReading(monotonic, epoch)

private fun confirmed(at: Long): ConfigurationFreshness =
    ConfigurationFreshness.unconfirmed(REVOCATION_MILLIS).withReply(1, reading(at), reading(at))

class ConfigurationFreshnessTest :
    DescribeSpec({
        describe("a confirmation") {
            it("counts for the version in force and older ones, for less than the bound") {
                confirmed(0).isConfirmed(1, reading(4_749)) shouldBe true
                confirmed(0).isConfirmed(1, reading(4_750)) shouldBe false
                confirmed(0).isConfirmed(2, reading(1)) shouldBe true
                confirmed(0).isConfirmed(0, reading(1)) shouldBe false
            }
            it("counts from the latest question, whatever the order of the replies") {
                confirmed(2_000).withReply(1, reading(0), reading(2_100)).isConfirmed(1, reading(6_000)) shouldBe true
            }
            // Guards against a freeze that a later correction of the time of day hides.
            it("is void for good after a freeze, also if the time of day is set back by its duration") {
                val thawed = confirmed(0).at(reading(100)).at(reading(101, 6_101))
                thawed.at(reading(200, 200)).isConfirmed(1, reading(201, 201)) shouldBe false
                val late = thawed.at(reading(200, 200)).withReply(1, reading(100), reading(200, 200))
                late.isConfirmed(1, reading(201, 201)) shouldBe false
                late.withReply(1, reading(300, 300), reading(310, 310)).isConfirmed(1, reading(320, 320)) shouldBe true
            }
            it("leaves time to accept keys, however short the bound is") {
                listOf(100L, 1_000L, 3_600_000L).forEach { bound ->
                    val state = ConfigurationFreshness.unconfirmed(bound).withReply(1, reading(0), reading(0))
                    state.isConfirmed(1, reading((bound * ConfigurationFreshness.TOLERATED_SHARE).toLong())) shouldBe
                        true
                    state.isConfirmed(1, reading(bound)) shouldBe false
                }
            }
        }
        describe("a gateway under randomly drawn schedules") {
            // Guards against a revoked key that is accepted after the bound.
            it("accepts no request that was sent later than the bound after an acknowledged change") {
                val runs = (1L..SCHEDULES).map { RevocationSchedule(it, fault = null).run() }
                runs.filter { it.late > 0 }.shouldBeEmpty()
                // Otherwise nothing would be tested.
                runs.sumOf { it.accepted } shouldBeGreaterThan SCHEDULES * 100
                runs.sumOf { it.refused } shouldBeGreaterThan SCHEDULES * 100
            }
            RevocationSchedule.Fault.entries.forEach { fault ->
                it("accepts one with the planted fault ${fault.name.lowercase()}") {
                    val found = (1L..SCHEDULES).filter { RevocationSchedule(it, fault).run().late > 0 }
                    println("planted ${fault.name.lowercase()}: found in ${found.size} of $SCHEDULES schedules")
                    found.shouldNotBeEmpty()
                }
            }
        }
        describe("a gateway that is cut off from control for less than 0.6 of the bound") {
            // Guards against keys that are refused because questions are too rare for the bound.
            it("goes on accepting keys, until it is confirmed again") {
                (1L..SCHEDULES).filter { seed -> !isAcceptedThroughout(Random(seed)) }.shouldBeEmpty()
            }
        }
    })

/** Runs a gateway that asks as the product does, through one cut; whether it accepts keys at all times. */
private fun isAcceptedThroughout(random: Random): Boolean {
    val cutStart = random.nextLong(3_000, 6_000)
    val cut = cutStart until cutStart + (REVOCATION_MILLIS * ConfigurationFreshness.TOLERATED_SHARE).toLong()
    var state = ConfigurationFreshness.unconfirmed(REVOCATION_MILLIS)
    var askedMillis: Long? = null
    var replyMillis = 0L
    var nextMillis = 0L
    for (now in 0L..15_000L) {
        val asked = askedMillis
        if (asked != null && now == replyMillis) state = state.withReply(1, reading(asked), reading(now))
        if (asked != null && (now == replyMillis || now - asked >= 500)) {
            nextMillis = now + if (now == replyMillis) state.askPeriodMillis else 100
            askedMillis = null
        }
        // The gateway looks every 100 ms whether a question is due.
        if (askedMillis == null && now % 100 == 0L && now >= nextMillis) {
            val reply = now + random.nextLong(2, 100)
            askedMillis = now
            replyMillis = if (now in cut || reply in cut) Long.MAX_VALUE else reply
        }
        if (now > 1_000 && !state.isConfirmed(1, reading(now))) return false
    }
    return true
}
