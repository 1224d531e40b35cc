package marigoldward.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.EngineDeclaration

private val HERE = DataCentre.parse("here")
private val PLAIN = PoolName.parse("plain")
private val ENGINES = PoolName.parse("engines")
private val ABSURD = listOf(Int.MIN_VALUE, -100, -1, 0, 1, 9, 2_001, 1_000_000_000, Int.MAX_VALUE)

private fun listed(name: String, service: PoolName = PLAIN, stage: EngineStage? = null) = ListedUpstream(
    UpstreamId.parse(name),
    service,
    "127.0.0.1:80",
    HERE,
    6,
    isLeaving = false,
    isCold = false,
    stage,
)

private fun dispatcher(upstreams: List<ListedUpstream>) =
    Dispatcher(HERE, PlacementCosts.DEFAULT, seed = 3).apply { updateUpstreams(upstreams, readMillis = 0) }

private fun Dispatcher.report(name: String, percent: Int?, atMillis: Long, running: Int = 0) =
    recordReceived(UpstreamId.parse(name), ReportedLoad(running, 0, 6, percent), atMillis)

private fun Dispatcher.chosen(nowMillis: Long): String =
    place(PLAIN, emptySet(), nowMillis, "route").shouldBeInstanceOf<Placement.Single>().upstream.id.text

private fun Dispatcher.serve(name: String, startMillis: Long, tookMillis: Long) {
    val attempt = recordStart(UpstreamId.parse(name), null, 0, startMillis, "route")
    report(name, 100, startMillis + tookMillis)
    recordEnd(attempt, AttemptEnd.ANSWERED, startMillis + tookMillis)
}

/** Returns the estimate after the figures [percents], one each [intervalMillis] from 0 on. */
private fun after(percents: List<Int>, intervalMillis: Long): UpstreamSpeed =
    percents.foldIndexed(UpstreamSpeed.UNKNOWN) { index, speed, percent ->
        speed.withFigure(percent, index * intervalMillis)
    }

class UpstreamSpeedTest :
    DescribeSpec({
        describe("an estimate") {
            // Guards against one figure that decides alone, as it may describe a moment that is over.
            it("follows a single figure in part, and several figures nearly in full") {
                after(listOf(250), 10).factor(0).shouldBeBetween(1.3, 1.8, 0.0)
                after(List(30) { 250 }, 10).factor(290).shouldBeBetween(2.3, 2.5, 0.0)
            }
            // Guards against an old figure that is used as if it were new where it changes many times a second.
            it("forgets a figure the sooner, the more often figures change") {
                val often = after(List(60) { if (it % 3 == 0) 250 else 100 } + 250, 50)
                val seldom = after(List(60) { 100 } + List(5) { 250 }, 50)
                often.changeMillis shouldBeLessThan 150.0
                seldom.changeMillis shouldBeGreaterThan 500.0
                val lostOften = often.factor(3_000) - often.factor(3_300)
                val lostSeldom = seldom.factor(3_200) - seldom.factor(3_500)
                lostOften shouldBeGreaterThan 2 * lostSeldom
            }
            // Guards against a figure without meaning that draws or bars all work.
            it("ignores absurd figures and is bounded for the others") {
                ABSURD.forEach { withClue(it) { after(listOf(it), 10) shouldBe UpstreamSpeed.UNKNOWN } }
                after(List(100) { 10 }, 10).factor(990).shouldBeBetween(0.5, 0.6, 0.0)
                after(List(100) { 2_000 }, 10).factor(990).shouldBeBetween(3.5, 4.0, 0.0)
            }
            it("is exactly normal without a figure, whatever times were observed") {
                UpstreamSpeed.UNKNOWN.withObservedTime(900.0, 10.0, 5).factor(6) shouldBe 1.0
            }
        }

        describe("the choice of a plain instance") {
            it("avoids one that reports that work takes longer there") {
                val dispatcher = dispatcher(listOf(listed("slow"), listed("normal")))
                repeat(5) {
                    dispatcher.report("slow", 250, it * 10L)
                    dispatcher.report("normal", 100, it * 10L)
                }
                List(20) { dispatcher.chosen(41) }.toSet() shouldBe setOf("normal")
            }
            it("uses a slow one once the queue at the other takes longer") {
                val dispatcher = dispatcher(listOf(listed("slow"), listed("normal")))
                repeat(5) {
                    dispatcher.report("slow", 250, it * 10L)
                    dispatcher.report("normal", 100, it * 10L, running = 24)
                }
                dispatcher.chosen(41) shouldBe "slow"
            }
            // Guards against a machine that is slow and reports that it is not.
            it("avoids one whose work takes longer than that of its peers under the same figure") {
                val dispatcher = dispatcher(listOf(listed("slow"), listed("peer-1"), listed("peer-2")))
                repeat(20) { round ->
                    listOf("slow", "peer-1", "peer-2").forEach { name ->
                        dispatcher.serve(name, round * 100L, if (name == "slow") 90 else 30)
                    }
                }
                List(30) { dispatcher.chosen(2_000) }.toSet() shouldContainExactlyInAnyOrder listOf("peer-1", "peer-2")
            }
            // Guards against a choice between upstreams that fail while a sound one is not compared.
            it("is among all if too few of them are sound") {
                val dispatcher = dispatcher(listOf("failing-1", "failing-2", "sound").map { listed(it) })
                repeat(5) { round ->
                    listOf("failing-1", "failing-2", "sound").forEach { name ->
                        val attempt = dispatcher.recordStart(UpstreamId.parse(name), null, 0, round * 10L)
                        dispatcher.report(name, 100, round * 10L)
                        val end = if (name == "sound") AttemptEnd.ANSWERED else AttemptEnd.NOT_RUN
                        dispatcher.recordEnd(attempt, end, round * 10L)
                    }
                }
                List(30) { dispatcher.chosen(41) }.toSet() shouldBe setOf("sound")
            }
            // Guards against an instance that gets no work ever again after some failures.
            it("uses one that has failed once the sound ones are full") {
                val dispatcher = dispatcher(listOf("failed", "sound-1", "sound-2", "sound-3").map { listed(it) })
                repeat(3) { round ->
                    val attempt = dispatcher.recordStart(UpstreamId.parse("failed"), null, 0, round * 10L)
                    dispatcher.report("failed", 100, round * 10L)
                    dispatcher.recordEnd(attempt, AttemptEnd.NOT_RUN, round * 10L)
                }
                (1..3).forEach { dispatcher.report("sound-$it", 100, 30) }
                dispatcher.chosen(41) shouldNotBe "failed"
                (1..3).forEach { dispatcher.report("sound-$it", 100, 50, running = 30) }
                dispatcher.chosen(51) shouldBe "failed"
            }
            it("is the same as with no figure if the figure is absurd") {
                val names = listOf("one", "two", "three")
                fun choices(percent: Int?): List<String> {
                    val dispatcher = dispatcher(names.map { listed(it) })
                    return List(60) { number ->
                        dispatcher.report(names[number % 3], percent, number * 20L, running = number % 5)
                        dispatcher.chosen(number * 20L + 1).also { dispatcher.serveUnreported(it, number * 20L) }
                    }
                }
                val expected = choices(null)
                ABSURD.forEach { withClue(it) { choices(it) shouldBe expected } }
            }
        }

        describe("the choice of engines") {
            val request = GenerationRequest(
                ENGINES,
                EngineDeclaration(64, 500_000, 163_840, 1.6e6, 7, 5_000, 3_000),
                Prompt(emptyList(), 20_000, 100),
                1_200,
                6_000,
                maxPauseMillis = 200,
                bodyBytes = 17_000,
            )

            // Guards against prompts that are sent to an engine that takes several times as long for them.
            it("avoids a prefill engine and a decode engine that report that work takes longer there") {
                val engines = listOf("slow", "normal").flatMap {
                    listOf(
                        listed("$it-reader", ENGINES, EngineStage.PREFILL),
                        listed("$it-decoder", ENGINES, EngineStage.DECODE),
                    )
                }
                val dispatcher = dispatcher(engines)
                repeat(5) { round ->
                    listOf("reader", "decoder").forEach { role ->
                        dispatcher.report("slow-$role", 250, round * 10L)
                        dispatcher.report("normal-$role", 100, round * 10L)
                    }
                }
                repeat(20) {
                    val placement = dispatcher.place(request, emptySet(), 41).shouldBeInstanceOf<Placement.Split>()
                    placement.prefill.id.text shouldBe "normal-reader"
                    placement.decode.id.text shouldBe "normal-decoder"
                }
            }
        }
    })

private fun Dispatcher.serveUnreported(name: String, startMillis: Long) {
    val attempt = recordStart(UpstreamId.parse(name), null, 0, startMillis, "route")
    recordEnd(attempt, AttemptEnd.ANSWERED, startMillis + 15)
}
