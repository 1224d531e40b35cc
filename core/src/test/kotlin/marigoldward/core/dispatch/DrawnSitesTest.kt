package marigoldward.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.matchers.types.shouldNotBeInstanceOf
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.EngineDeclaration
import kotlin.random.Random

private const val SITES = 300

/** A site of a random shape: data centres, gateways, engines of both stages and plain services. */
private class DrawnSite(seed: Int) {
    val random = Random(seed)
    val dataCentres = List(random.nextInt(1, 10)) { DataCentre.parse("dc-$it") }
    val engineSlots = random.nextInt(1, 65)
    val gatewayCount = random.nextInt(1, 101)
    val engineService = PoolName.parse("engines")
    val plainServices = List(random.nextInt(0, 4)) { PoolName.parse("plain-$it") }
    val engine = EngineDeclaration(engineSlots, 430_000, 163_840, 1_500_000.0, 7, 5_000, 3_000)
    val engines = List(random.nextInt(1, 121)) { index ->
        val isDecode = index == 0 || random.nextBoolean()
        listed("engine-$index", engineService, if (isDecode) EngineStage.DECODE else EngineStage.PREFILL, engineSlots)
    }
    val plainUpstreams = plainServices.flatMap { service ->
        List(random.nextInt(1, 7)) {
            listed("${service.text}-$it", service, stage = null, slots = random.nextInt(1, 9))
        }
    }

    private fun listed(name: String, service: PoolName, stage: EngineStage?, slots: Int) = ListedUpstream(
        UpstreamId.parse(name),
        service,
        "127.0.0.1:80",
        dataCentres.random(random),
        slots,
        isLeaving = false,
        isCold = false,
        stage,
    )

    fun dispatcher(dataCentre: DataCentre): Dispatcher =
        Dispatcher(dataCentre, PlacementCosts.DEFAULT, random.nextLong()).also {
            it.gatewayCount = gatewayCount
            it.updateUpstreams(engines + plainUpstreams, readMillis = 0)
        }

    fun generation(): GenerationRequest {
        val shared = random.nextInt(50, 40_000)
        val own = random.nextInt(1, 4_000)
        val parts =
            listOf(PromptPart("shared-${random.nextInt(200)}", shared), PromptPart("own-${random.nextInt()}", own))
        return GenerationRequest(
            engineService,
            engine,
            Prompt(parts, shared + own, 200),
            targetMillis = 1_200,
            remainingMillis = 6_000,
            maxPauseMillis = 150,
            bodyBytes = shared,
        )
    }
}

private fun Placement.upstreams(): List<ListedUpstream> = when (this) {
    is Placement.Single -> listOf(upstream)
    is Placement.Split -> listOf(prefill, decode)
    is Placement.None -> emptyList()
}

private fun eachSite(sites: Int = SITES, check: (DrawnSite) -> Unit) = repeat(sites) { seed ->
    withClue("seed $seed") { check(DrawnSite(seed)) }
}

class DrawnSitesTest :
    DescribeSpec({
        describe("on a site of any shape") {
            it(
                "a request is placed while a sound upstream is idle, at upstreams of its service and of the right stage",
            ) {
                eachSite { site ->
                    val dispatcher = site.dispatcher(site.dataCentres.random(site.random))
                    site.plainServices.forEach { service ->
                        val placement = dispatcher.place(service, emptySet(), 0).shouldBeInstanceOf<Placement.Single>()
                        placement.upstream.service shouldBe service
                    }
                    repeat(5) {
                        when (val placement = dispatcher.place(site.generation(), emptySet(), 0)) {
                            is Placement.Single -> placement.upstream.stage shouldBe EngineStage.DECODE
                            is Placement.Split -> {
                                placement.prefill.stage shouldBe EngineStage.PREFILL
                                placement.decode.stage shouldBe EngineStage.DECODE
                                placement.cacheSource shouldNotBe placement.prefill
                            }
                            is Placement.None -> error("refused as ${placement.reason}")
                        }
                    }
                }
            }
            it("a request avoids upstreams that have failed, as long as others are left") {
                eachSite { site ->
                    val dispatcher = site.dispatcher(site.dataCentres.first())
                    val failed =
                        site.engines.groupBy { it.stage }.values.flatMap { it.drop(1) }.shuffled(site.random).take(20)
                    failed.forEach { engine ->
                        repeat(4) {
                            val attempt = dispatcher.recordStart(engine.id, null, 0, 0)
                            dispatcher.recordEnd(attempt, AttemptEnd.UNREACHABLE, 1)
                        }
                    }
                    val failedIds = failed.map { it.id }.toSet()
                    repeat(10) {
                        val placement = dispatcher.place(site.generation(), emptySet(), 2)
                        placement.shouldNotBeInstanceOf<Placement.None>()
                        placement.upstreams().filter { it.id in failedIds } shouldBe emptyList()
                    }
                }
            }
            it("a request is never sent to an upstream that it has tried or that is leaving") {
                eachSite { site ->
                    val dispatcher = site.dispatcher(site.dataCentres.first())
                    val tried = site.engines.filter { site.random.nextBoolean() }.map { it.id }.toSet()
                    val leaving = site.engines.filter { site.random.nextInt(3) == 0 }.map { it.id }.toSet()
                    val listed = site.engines.map { it.copy(isLeaving = it.id in leaving) }
                    dispatcher.updateUpstreams(listed, readMillis = 1)
                    val usable = site.engines.map { it.id }.toSet() - tried - leaving
                    repeat(5) {
                        dispatcher.place(site.generation(), tried, 0).upstreams().forEach { it.id shouldBeIn usable }
                    }
                }
            }
            it("every data centre gets work if gateways in all of them have much to send") {
                eachSite(sites = 30) { site ->
                    val used = HashSet<DataCentre>()
                    site.dataCentres.forEach { dataCentre ->
                        val dispatcher = site.dispatcher(dataCentre)
                        repeat(4 * site.engines.size) {
                            val request = site.generation()
                            val placement = dispatcher.place(request, emptySet(), 0)
                            placement.upstreams().forEach { upstream ->
                                used += upstream.dataCentre
                                dispatcher.recordStart(upstream.id, request.prompt, 1_000, 0)
                            }
                        }
                    }
                    val withDecodeEngine =
                        site.engines.filter { it.stage == EngineStage.DECODE }.map { it.dataCentre }.toSet()
                    used shouldContainAll withDecodeEngine
                }
            }
        }
    })
