package marigoldward.core.capacity

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import marigoldward.core.model.DataCentre

private val CENTRES = listOf("dc-a", "dc-b", "dc-c").map { DataCentre.parse(it) }
private val SCALING = EngineScaling(1, 20, 4_000, 0.22, CENTRES.zip(listOf(1.0, 0.8, 1.25)).toMap())

/** Engines of three data centres in virtual time; each starts with [initial] regular ones. */
private class Fleet(initial: Int, private val stepMillis: Long = 500) {
    private class Engine(val centre: DataCentre, val isReclaimable: Boolean, var servesFromMillis: Long)

    private val engines = CENTRES.flatMapTo(ArrayList()) { c -> List(initial) { Engine(c, false, 0) } }
    var planner = CapacityPlanner.of(SCALING)
    var nowMillis = 0L
    val accepted = ArrayList<CapacityOrder>()
    var isScarce: (DataCentre) -> Boolean = { false }
    var isProviderLost = false
    var isProviderIdle = false
    var hidden: DataCentre? = null

    fun count(centre: DataCentre): EngineCount {
        val (reclaimable, regular) =
            engines.filter { it.centre == centre && it.servesFromMillis <= nowMillis }.partition { it.isReclaimable }
        return EngineCount(regular.size, reclaimable.size)
    }

    val serving: Int get() = CENTRES.sumOf { count(it).total }

    fun reclaim(centre: DataCentre) = engines.removeIf { it.centre == centre && it.isReclaimable }

    fun crash(centre: DataCentre, forMillis: Long) =
        engines.filter { it.centre == centre && it.isReclaimable }.take(2).forEach {
            it.servesFromMillis =
                nowMillis + forMillis
        }

    /** Runs to [untilMillis]; [demand] is the need by time, and [check] sees the state after each step. */
    fun run(untilMillis: Long, demand: (Long) -> Double?, check: () -> Unit = {}) {
        while (nowMillis < untilMillis) {
            val listed = CENTRES.filter { it != hidden }.associateWith(::count)
            val step = planner.observe(listed, demand(nowMillis), nowMillis)
            planner = step.planner
            step.orders.forEach { planner = planner.withResult(it, carryOut(it), nowMillis) }
            check()
            nowMillis += stepMillis
        }
    }

    private fun carryOut(order: CapacityOrder): CapacityPlanner.OrderResult {
        if (isProviderLost) return CapacityPlanner.OrderResult.FAILED
        if (order.isReclaimable && isScarce(order.dataCentre)) return CapacityPlanner.OrderResult.SCARCE
        accepted += order
        if (isProviderIdle) return CapacityPlanner.OrderResult.ACCEPTED
        val present = engines.filter { it.centre == order.dataCentre && it.isReclaimable == order.isReclaimable }
        engines -= present.drop(order.count).toSet()
        val added = order.count - present.size
        repeat(added) { engines += Engine(order.dataCentre, order.isReclaimable, nowMillis + SCALING.bootMillis) }
        return CapacityPlanner.OrderResult.ACCEPTED
    }
}

class CapacityPlannerTest :
    DescribeSpec({
        describe("regular engines that were found at the start") {
            // Guards against an exchange that lowers the capacity, or repeats orders while engines boot.
            it("are replaced in two orders a data centre, while at least as many serve") {
                val fleet = Fleet(initial = 5)
                fleet.run(30_000, { null }) { fleet.serving shouldBeGreaterThanOrEqual 15 }
                CENTRES.map(fleet::count) shouldBe List(3) { EngineCount(1, 4) }
                fleet.accepted.size shouldBe 6
            }
        }
        describe("a rising wave") {
            // Guards against engines that come late, and against an order for each step of the wave.
            it("is met by engines for the demand at all times, in few orders") {
                val fleet = Fleet(initial = 5)
                fleet.run(20_000, { 7.0 })
                val before = fleet.accepted.size
                val wave = { now: Long -> 7.0 + 13 * minOf(1.0, (now - 20_000) / 26_000.0) }
                fleet.run(60_000, wave) {
                    fleet.serving shouldBeGreaterThanOrEqual
                        Math.ceil(wave(fleet.nowMillis)).toInt()
                }
                fleet.accepted.size - before shouldBeLessThanOrEqual 15
            }
        }
        describe("a burst") {
            // Guards against engines that are given up between two bursts, and against never giving any up.
            it("is met within the boot time, and its engines are given up slowly") {
                val fleet = Fleet(initial = 5)
                val demand = { now: Long -> if (now in 30_000..35_000 || now in 45_000..50_000) 16.0 else 6.0 }
                fleet.run(36_000, demand)
                fleet.serving shouldBeGreaterThanOrEqual 16
                val orders = fleet.accepted.size
                fleet.run(50_000, demand) { fleet.serving shouldBeGreaterThanOrEqual 16 }
                fleet.accepted.size - orders shouldBeLessThanOrEqual 6
                fleet.run(150_000, demand)
                fleet.serving shouldBeLessThanOrEqual 15
                fleet.serving shouldBeGreaterThanOrEqual 8
                fleet.accepted.size shouldBeLessThanOrEqual 24
            }
        }
        describe("a reclaim of a whole data centre") {
            // Guards against a remaining fleet too small for the demand, and against repeated orders while engines
            // boot.
            it("leaves enough engines elsewhere, and is replaced in one order") {
                val fleet = Fleet(initial = 4)
                fleet.run(60_000, { 10.0 })
                fleet.reclaim(CENTRES[1])
                val before = fleet.accepted.size
                fleet.run(66_000, { 10.0 }) { fleet.serving shouldBeGreaterThanOrEqual 10 }
                fleet.accepted.size - before shouldBe 1
                fleet.count(CENTRES[1]).total shouldBeGreaterThanOrEqual 5
            }
        }
        describe("a reclaim without reclaimable engines to replace it") {
            // Guards against a data centre without replacements, and against swinging between the kinds.
            it("is replaced by regular ones, which are given up once there are reclaimable ones") {
                val fleet = Fleet(initial = 6)
                fleet.run(20_000, { 10.0 })
                fleet.reclaim(CENTRES[1])
                fleet.isScarce = { it == CENTRES[1] }
                val before = fleet.accepted.size
                fleet.run(80_000, { 10.0 })
                fleet.count(CENTRES[1]) shouldBe EngineCount(6, 0)
                fleet.accepted.size - before shouldBe 1
                fleet.isScarce = { false }
                fleet.run(200_000, { 10.0 })
                fleet.count(CENTRES[1]) shouldBe EngineCount(1, 5)
                fleet.accepted.size - before shouldBe 3
            }
        }
        describe("no reclaimable engines available at all") {
            it("leaves the regular ones, and asks rarely") {
                val fleet = Fleet(initial = 5)
                var refusals = 0
                fleet.isScarce = { refusals++ >= 0 }
                fleet.run(120_000, { 9.5 }) { fleet.serving shouldBe 15 }
                fleet.accepted.shouldBeEmpty()
                refusals shouldBeLessThanOrEqual 12
            }
        }
        describe("a provider that is unavailable for the whole rise") {
            // Guards against a plan that takes refused orders for carried out.
            it("gets the orders for the demand as soon as it answers") {
                val fleet = Fleet(initial = 5)
                fleet.run(20_000, { 7.0 })
                fleet.isProviderLost = true
                fleet.run(40_000, { 18.0 })
                fleet.serving shouldBe 15
                fleet.isProviderLost = false
                fleet.run(48_000, { 18.0 })
                fleet.serving shouldBeGreaterThanOrEqual 27
            }
        }
        describe("a data centre that is partitioned") {
            // Guards against orders for a data centre that is missing from the list for a moment.
            it("gets no orders while it is missing for less than 10 s") {
                val fleet = Fleet(initial = 5)
                fleet.run(30_000, { 7.0 })
                val before = fleet.accepted.size
                fleet.hidden = CENTRES[0]
                fleet.run(39_000, { 7.0 })
                fleet.hidden = null
                fleet.run(50_000, { 7.0 })
                fleet.accepted.size shouldBe before
            }
            it("is covered by the others when it is missing for longer") {
                val fleet = Fleet(initial = 5)
                fleet.run(30_000, { 9.5 })
                fleet.hidden = CENTRES[0]
                fleet.run(50_000, { 9.5 })
                CENTRES.drop(1).sumOf { fleet.count(it).total } shouldBeGreaterThanOrEqual 15
            }
        }
        describe("engines that crash") {
            // Guards against an order for each crash.
            it("are not ordered again while they may come back") {
                val fleet = Fleet(initial = 5)
                fleet.run(30_000, { 9.5 })
                val before = fleet.accepted.size
                fleet.crash(CENTRES[0], 6_000)
                fleet.run(60_000, { 9.5 })
                fleet.accepted.size shouldBe before
            }
            it("are replaced if they don't come back") {
                val fleet = Fleet(initial = 5)
                fleet.run(30_000, { 9.5 })
                fleet.crash(CENTRES[0], 600_000)
                fleet.run(45_000, { 9.5 })
                fleet.count(CENTRES[0]).total shouldBe 5
            }
        }
        describe("orders that are accepted and not carried out") {
            // Guards against a plan that waits forever for engines that don't come.
            it("are followed by orders for regular engines") {
                val fleet = Fleet(initial = 6)
                fleet.run(30_000, { 10.0 })
                fleet.reclaim(CENTRES[1])
                fleet.isProviderIdle = true
                fleet.run(31_000, { 10.0 })
                fleet.isProviderIdle = false
                fleet.run(44_000, { 10.0 })
                fleet.count(CENTRES[1]) shouldBe EngineCount(6, 0)
            }
        }
        describe("an unknown demand") {
            it("removes no engines") {
                val fleet = Fleet(initial = 5)
                fleet.run(30_000, { 9.5 })
                fleet.run(120_000, { null }) { fleet.serving shouldBe 15 }
            }
        }
        describe("a new leader in the middle of an exchange") {
            // Guards against counting the engines of both kinds as the size to keep.
            it("orders nothing at once, and ends with the number before the exchange") {
                val fleet = Fleet(initial = 5)
                // The reclaimable engines serve from 4 s on, and no regular one is given up yet.
                fleet.run(4_000, { null })
                fleet.serving shouldBe 27
                fleet.planner = CapacityPlanner.of(SCALING)
                val before = fleet.accepted.size
                fleet.run(10_000, { null })
                fleet.accepted.size shouldBe before
                fleet.run(25_000, { 9.5 }) { fleet.serving shouldBeGreaterThanOrEqual 15 }
                CENTRES.map(fleet::count) shouldBe List(3) { EngineCount(1, 4) }
            }
        }
        describe("a demand that falls to little") {
            it("is followed in few steps") {
                val fleet = Fleet(initial = 20)
                fleet.run(150_000, { 4.0 })
                fleet.serving.toDouble() shouldBeLessThan 12.0
                fleet.serving shouldBeGreaterThanOrEqual 6
            }
        }
    })
