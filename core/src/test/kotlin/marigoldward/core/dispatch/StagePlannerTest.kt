package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId

private fun gauge(number: Int, stage: EngineStage, queue: Int, usedPart: Double = 0.1, orders: Long = 1): EngineGauge {
    val engine =
        ListedUpstream(
            id = UpstreamId.parse("engine-$number"),
            service = PoolName.parse("engines"),
            address = "127.0.0.1:$number",
            dataCentre = DataCentre.parse("dc-${number % 3}"),
            slots = 64,
            isLeaving = false,
            isCold = false,
            stage = stage,
        )
    return EngineGauge(engine, stage, running = minOf(queue, 1), waiting = maxOf(0, queue - 1), usedPart, false, orders)
}

private fun fleet(
    readers: Int,
    decoders: Int,
    queue: Int,
    usedPart: Double = 0.1,
    orders: Long = 1,
): List<EngineGauge> = List(readers) { gauge(it, EngineStage.PREFILL, queue, minOf(usedPart, 0.1), orders) } +
    List(decoders) { gauge(readers + it, EngineStage.DECODE, 0, usedPart, orders) }

private fun changes(gauges: List<EngineGauge>, rounds: Int = 5, listed: Int = gauges.size): List<StageChange> {
    var planner = StagePlanner.INITIAL
    var changes = emptyList<StageChange>()
    repeat(rounds) { round ->
        val step = planner.observe(gauges, listed, round * 1_000L)
        planner = step.planner
        changes = changes + step.changes
    }
    return changes
}

class StagePlannerTest :
    DescribeSpec({
        describe("engines whose prompts queue while streams are few") {
            it("get help from a third of those that generate") {
                changes(fleet(readers = 5, decoders = 8, queue = 4), rounds = 2).map { it.stage } shouldBe
                    List(3) { EngineStage.PREFILL }
            }
            it("leave some that generate in any case") {
                changes(fleet(readers = 9, decoders = 4, queue = 9)).shouldBeEmpty()
            }
            it("wait until the last change shows") {
                val gauges = fleet(readers = 5, decoders = 8, queue = 4)
                val first = StagePlanner.INITIAL.observe(gauges, gauges.size, 0)
                val second = first.planner.observe(gauges, gauges.size, 1_000)
                (first.changes + second.changes) shouldHaveSize 3
            }
        }
        describe("a short swing") {
            it("changes nothing") {
                val calm = fleet(readers = 5, decoders = 8, queue = 0)
                val busy = fleet(readers = 5, decoders = 8, queue = 2)
                val first = StagePlanner.INITIAL.observe(calm, calm.size, 0)
                first.planner.observe(busy, busy.size, 1_000).changes.shouldBeEmpty()
            }
        }
        describe("engines that are full of streams") {
            it("get one of those that read, if no prompts wait") {
                changes(fleet(readers = 5, decoders = 8, queue = 0, usedPart = 0.95)).map { it.stage } shouldBe
                    listOf(EngineStage.DECODE)
            }
        }
        describe("a fleet whose engines that generate have left") {
            it("gets new ones at once, even if others don't answer") {
                changes(fleet(readers = 4, decoders = 0, queue = 0), rounds = 1, listed = 6).map { it.stage } shouldBe
                    listOf(EngineStage.DECODE)
            }
            it("gets one back before the last is gone, however many prompts wait") {
                changes(fleet(readers = 4, decoders = 1, queue = 9), rounds = 1).map { it.stage } shouldBe
                    listOf(EngineStage.DECODE)
            }
            it("keeps one engine that reads") {
                changes(fleet(readers = 1, decoders = 0, queue = 0), rounds = 1).shouldBeEmpty()
            }
        }
        describe("a data centre that may be cut off") {
            fun stagesByPlace(gauges: List<EngineGauge>) = gauges.groupBy({ it.engine.dataCentre.text }, { it.stage })

            it("gets an engine that generates if all of its engines read") {
                val lopsided = listOf(0, 1, 2, 3, 4, 6).map { gauge(it, EngineStage.PREFILL, 0) } +
                    listOf(5, 7).map { gauge(it, EngineStage.DECODE, 0) }
                changes(lopsided, rounds = 1).map { it.gauge.engine.dataCentre.text to it.stage } shouldBe
                    listOf("dc-0" to EngineStage.DECODE)
            }
            it("gives up one of two that generate if prompts queue and no other data centre has one to spare") {
                val gauges = fleet(readers = 3, decoders = 3, queue = 9)
                changes(gauges, rounds = 1).map { it.stage } shouldBe listOf(EngineStage.PREFILL)
            }
            it("keeps what was changed for the first work until that has come") {
                val start = fleet(readers = 3, decoders = 3, queue = 0, usedPart = 0.0, orders = 0)
                val first = StagePlanner.INITIAL.observe(start, start.size, 0)
                first.changes.map { it.stage } shouldBe listOf(EngineStage.PREFILL)
                val changed = first.changes.single().gauge.engine.id
                val after = start.map { gauge ->
                    if (gauge.engine.id == changed) gauge.copy(stage = EngineStage.PREFILL, sequence = 1) else gauge
                }
                first.planner.observe(after, after.size, 10_000).changes.shouldBeEmpty()
            }
            it("keeps both stages while another data centre has engines to spare") {
                val gauges = fleet(readers = 3, decoders = 6, queue = 9)
                val changed = changes(gauges).map { it.gauge.engine.id }
                val after = gauges.map { if (it.engine.id in changed) it.copy(stage = EngineStage.PREFILL) else it }
                stagesByPlace(after).values.forEach { it.toSet() shouldBe EngineStage.entries.toSet() }
            }
        }
        describe("a fleet that has done nothing yet") {
            it("gets more engines that read, since all caches are empty") {
                changes(
                    fleet(readers = 5, decoders = 8, queue = 0, usedPart = 0.0, orders = 0),
                    rounds = 1,
                ) shouldHaveSize
                    3
            }
        }
        describe("a fleet of which a part does not answer") {
            it("is left as it is: what is cut off needs its own") {
                changes(fleet(readers = 4, decoders = 5, queue = 9), listed = 13).shouldBeEmpty()
            }
        }
    })
