package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import kotlin.random.Random

private fun status(
    number: Int,
    stage: EngineStage,
    queue: Int,
    kvUsedFraction: Double = 0.1,
    orders: Long = 1,
): EngineStatus {
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
    return EngineStatus(
        engine,
        stage,
        running = minOf(queue, 1),
        waiting = maxOf(0, queue - 1),
        kvUsedFraction,
        false,
        orders,
    )
}

private fun fleet(
    prefill: Int,
    decode: Int,
    queue: Int,
    kvUsedFraction: Double = 0.1,
    orders: Long = 1,
): List<EngineStatus> = List(prefill) { status(it, EngineStage.PREFILL, queue, minOf(kvUsedFraction, 0.1), orders) } +
    List(decode) { status(prefill + it, EngineStage.DECODE, 0, kvUsedFraction, orders) }

private fun changes(statuses: List<EngineStatus>, rounds: Int = 5, listed: Int = statuses.size): List<StageChange> {
    var planner = StagePlanner.INITIAL
    var changes = emptyList<StageChange>()
    repeat(rounds) { round ->
        val step = planner.observe(statuses, listed, round * 1_000L)
        planner = step.planner
        changes = changes + step.changes
    }
    return changes
}

class StagePlannerTest :
    DescribeSpec({
        describe("engines with queued prompts and few streams") {
            it("are joined by a third of the engines in the decode stage") {
                changes(fleet(prefill = 5, decode = 8, queue = 4), rounds = 2).map { it.newStage } shouldBe
                    List(3) { EngineStage.PREFILL }
            }
            it("leave a minimum of engines in the decode stage") {
                changes(fleet(prefill = 9, decode = 4, queue = 9)).shouldBeEmpty()
            }
            it("change no more engines until the last change has taken effect") {
                val statuses = fleet(prefill = 5, decode = 8, queue = 4)
                val first = StagePlanner.INITIAL.observe(statuses, statuses.size, 0)
                val second = first.planner.observe(statuses, statuses.size, 1_000)
                (first.changes + second.changes) shouldHaveSize 3
            }
        }
        describe("a short rise of the queue") {
            it("changes nothing") {
                val idle = fleet(prefill = 5, decode = 8, queue = 0)
                val busy = fleet(prefill = 5, decode = 8, queue = 2)
                val first = StagePlanner.INITIAL.observe(idle, idle.size, 0)
                first.planner.observe(busy, busy.size, 1_000).changes.shouldBeEmpty()
            }
        }
        describe("engines that are full of streams") {
            it("are joined by one engine from the prefill stage if no prompts wait") {
                val changes = changes(fleet(prefill = 5, decode = 8, queue = 0, kvUsedFraction = 0.95))
                changes.map { it.newStage } shouldBe listOf(EngineStage.DECODE)
            }
        }
        describe("a fleet that has lost engines in the decode stage") {
            it("gets replacements at once, even if some engines do not report") {
                changes(fleet(prefill = 4, decode = 0, queue = 0), rounds = 1, listed = 6).map { it.newStage } shouldBe
                    listOf(EngineStage.DECODE)
            }
            it("gets a replacement while one is left, however many prompts wait") {
                changes(fleet(prefill = 4, decode = 1, queue = 9), rounds = 1).map { it.newStage } shouldBe
                    listOf(EngineStage.DECODE)
            }
            it("keeps one engine in the prefill stage") {
                changes(fleet(prefill = 1, decode = 0, queue = 0), rounds = 1).shouldBeEmpty()
            }
        }
        describe("a data centre that may be cut off") {
            fun stagesByDataCentre(statuses: List<EngineStatus>) =
                statuses.groupBy({ it.engine.dataCentre.text }, { it.stage })

            it("gets an engine in the decode stage if all of its engines are in the prefill stage") {
                val statuses = listOf(0, 1, 2, 3, 4, 6).map { status(it, EngineStage.PREFILL, 0) } +
                    listOf(5, 7).map { status(it, EngineStage.DECODE, 0) }
                val changes = changes(statuses, rounds = 1)
                changes.map { it.status.engine.dataCentre.text to it.newStage } shouldBe
                    listOf("dc-0" to EngineStage.DECODE)
            }
            it("changes one of two decode engines if prompts queue and no other data centre has one to spare") {
                val statuses = fleet(prefill = 3, decode = 3, queue = 9)
                changes(statuses, rounds = 1).map { it.newStage } shouldBe listOf(EngineStage.PREFILL)
            }
            it("keeps the changes made before the first request until it arrives") {
                val start = fleet(prefill = 3, decode = 3, queue = 0, kvUsedFraction = 0.0, orders = 0)
                val first = StagePlanner.INITIAL.observe(start, start.size, 0)
                first.changes.map { it.newStage } shouldBe listOf(EngineStage.PREFILL)
                val changed = first.changes.single().status.engine.id
                val after = start.map { status ->
                    if (status.engine.id == changed) {
                        status.copy(stage = EngineStage.PREFILL, orderSequence = 1)
                    } else {
                        status
                    }
                }
                first.planner.observe(after, after.size, 10_000).changes.shouldBeEmpty()
            }
            it("keeps both stages while another data centre has engines to spare") {
                val statuses = fleet(prefill = 3, decode = 6, queue = 9)
                val changed = changes(statuses).map { it.status.engine.id }
                val after = statuses.map { if (it.engine.id in changed) it.copy(stage = EngineStage.PREFILL) else it }
                stagesByDataCentre(after).values.forEach { it.toSet() shouldBe EngineStage.entries.toSet() }
            }
        }
        describe("a fleet before its first request") {
            it("gets more engines in the prefill stage, since all caches are empty") {
                changes(
                    fleet(prefill = 5, decode = 8, queue = 0, kvUsedFraction = 0.0, orders = 0),
                    rounds = 1,
                ) shouldHaveSize
                    3
            }
        }
        // Guards against a sum that overflows, which made the fullest engine look like the least busy one.
        describe("an engine that reports more requests than an Int holds") {
            it("is the last whose stage changes") {
                val statuses = fleet(prefill = 4, decode = 1, queue = 0)
                val full = statuses[0].copy(running = Int.MAX_VALUE, waiting = Int.MAX_VALUE)
                val changed = changes(listOf(full) + statuses.drop(1), rounds = 1).map { it.status.engine.id }
                changed shouldHaveSize 1
                (full.engine.id in changed) shouldBe false
            }
        }
        describe("a fleet with several engines that do not report") {
            it("is not changed, since a data centre that is cut off needs the engines it has") {
                changes(fleet(prefill = 4, decode = 5, queue = 9), listed = 13).shouldBeEmpty()
            }
        }
        describe("a set of engines that are ordered while they serve") {
            val settled = fleet(prefill = 6, decode = 4, queue = 0, kvUsedFraction = 0.2)

            fun replaced(newCount: Int) = settled.drop(newCount) +
                List(newCount) { status(100 + it, EngineStage.DECODE, 0, kvUsedFraction = 0.0, orders = 0) }

            // Guards against prompts that queue because replacements of prefill engines stay in the decode stage.
            it("keeps its fraction in the prefill stage when most engines are replaced at once") {
                val first = StagePlanner.INITIAL.observe(settled, 10, 0, isScaled = true)
                first.changes.shouldBeEmpty()
                val changes = first.planner.observe(replaced(5), 10, 1_000, isScaled = true).changes
                changes.map { it.newStage } shouldBe List(5) { EngineStage.PREFILL }
                changes.forEach { it.status.orderSequence shouldBe 0L }
            }
            // Guards against an order a second for engines whose change is in progress.
            it("orders nothing more while the changes are carried out") {
                val first = StagePlanner.INITIAL.observe(settled, 10, 0, isScaled = true).planner
                val second = first.observe(replaced(5), 10, 1_000, isScaled = true).planner
                val executing = replaced(5).map { if (it.orderSequence == 0L) it.copy(isExecutingOrder = true) else it }
                second.observe(executing, 10, 2_000, isScaled = true).changes.shouldBeEmpty()
            }
            // Guards against orders to engines that are replaced before the first request.
            it("changes no engine before the first request until the set has settled") {
                val unused = fleet(prefill = 0, decode = 10, queue = 0, kvUsedFraction = 0.0, orders = 0)
                val first = StagePlanner.INITIAL.observe(unused, 10, 0, isScaled = true)
                val second = first.planner.observe(unused.drop(1), 9, 5_000, isScaled = true)
                val third = second.planner.observe(unused.drop(1), 9, 10_000, isScaled = true)
                (first.changes + second.changes + third.changes).shouldBeEmpty()
                third.planner.observe(unused.drop(1), 9, 11_000, isScaled = true).changes shouldHaveSize 6
            }
            // Guards against a change of behaviour where engines aren't ordered: the digest is that of the decisions of
            // the planner before it knew of sets that change.
            it("changes nothing in the decisions for a service whose engines aren't ordered") {
                val random = Random(7)
                var planner = StagePlanner.INITIAL
                var digest = 0
                var changeCount = 0
                repeat(3_000) { round ->
                    val busy = random.nextInt(6)
                    val statuses = List(1 + random.nextInt(16)) { number ->
                        val stage = EngineStage.entries[random.nextInt(2)]
                        status(number, stage, random.nextInt(1 + busy), random.nextInt(101) / 100.0, random.nextLong(2))
                            .copy(isExecutingOrder = random.nextInt(40) == 0)
                    }
                    val step = planner.observe(statuses, statuses.size + random.nextInt(2), round * 900L)
                    planner = step.planner
                    step.changes.forEach {
                        digest = 31 * digest + "$round ${it.status.engine.id} ${it.newStage}".hashCode()
                        changeCount++
                    }
                }
                (changeCount to digest) shouldBe (394 to 1989700668)
            }
        }
    })
