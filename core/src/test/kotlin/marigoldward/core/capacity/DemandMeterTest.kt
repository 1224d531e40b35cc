package marigoldward.core.capacity

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import marigoldward.core.model.PoolName

private val SERVICE = PoolName.parse("engines")

private fun demand(seconds: Int, refused: Long = 0, inProgress: Int = 0) =
    ServiceDemand(SERVICE, 10L * seconds, 17_000L * seconds, 4_000L * seconds, refused * seconds, inProgress)

/** Returns the meter after a report each second in [seconds]; process n started n times 100 s before. */
private fun DemandMeter.reported(seconds: IntRange, processes: Int = 2, refused: Long = 0, inProgress: Int = 0) =
    seconds.fold(this) { meter, second ->
        (1L..processes).fold(meter) { next, process ->
            val demand = demand(second + process.toInt() * 100, refused, inProgress)
            next.withReport(process, listOf(demand), second * 1_000L + process)
        }
    }

class DemandMeterTest :
    DescribeSpec({
        describe("the need") {
            it("adds prompts and outputs of all processes, without what was counted before the first report") {
                val meter = DemandMeter.EMPTY.reported(0..9)
                meter.neededEnginesOrNull(SERVICE, 9_500)!! shouldBe (4.0 plusOrMinus 0.5)
            }
            it("is not known before 2 s were measured, nor 5 s after the last report") {
                DemandMeter.EMPTY.reported(0..1).neededEnginesOrNull(SERVICE, 1_500) shouldBe null
                DemandMeter.EMPTY.reported(0..9).neededEnginesOrNull(SERVICE, 15_000) shouldBe null
            }
            // Guards against a need that falls because work is refused.
            it("counts refused requests, at most twice what was served") {
                val half = DemandMeter.EMPTY.reported(0..9, refused = 5).neededEnginesOrNull(SERVICE, 9_500)!!
                val most = DemandMeter.EMPTY.reported(0..9, refused = 9).neededEnginesOrNull(SERVICE, 9_500)!!
                half shouldBe (8.0 plusOrMinus 1.0)
                most shouldBe (half plusOrMinus 0.01)
            }
            it("has engines for the requests in progress, which long streams add to without new tokens") {
                val meter = DemandMeter.EMPTY.reported(0..9, inProgress = 400)
                meter.neededEnginesOrNull(SERVICE, 9_500)!! shouldBe (20.0 plusOrMinus 0.01)
            }
            // Guards against orders to the limit when an instance leads again: reports then cover the time between.
            it("doesn't count what grew while another instance led") {
                val meter = DemandMeter.EMPTY.reported(0..9).reported(40..49)
                meter.neededEnginesOrNull(SERVICE, 49_500)!! shouldBe (4.0 plusOrMinus 0.5)
                DemandMeter.EMPTY.reported(0..9).reported(40..42).neededEnginesOrNull(SERVICE, 42_500)!! shouldBe
                    (4.0 plusOrMinus 0.5)
            }
            it("doesn't fall when a process starts again at 0") {
                val meter = DemandMeter.EMPTY.reported(0..9).withReport(9, listOf(demand(0)), 9_100)
                meter.neededEnginesOrNull(SERVICE, 9_500)!! shouldBe (4.0 plusOrMinus 0.5)
            }
        }
    })
