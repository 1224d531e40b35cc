package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.EngineDeclaration

private val HERE = DataCentre.parse("here")
private val SERVICE = PoolName.parse("service")
private val ENGINE = EngineDeclaration(64, 500_000, 163_840, 1_600_000.0, 7, 5_000, 3_000)
private const val SHARED_TOKENS = 13_300
private const val OWN_TOKENS = 3_700

private fun engine(name: String, stage: EngineStage) =
    ListedUpstream(UpstreamId.parse(name), SERVICE, "127.0.0.1:80", HERE, 64, isLeaving = false, isCold = false, stage)

private val ENGINES = List(4) { engine("reader-$it", EngineStage.PREFILL) } +
    List(4) { engine("decoder-$it", EngineStage.DECODE) }

private fun dispatcher(seed: Long): Dispatcher =
    Dispatcher(HERE, PlacementCosts.DEFAULT, seed).apply { updateUpstreams(ENGINES, readMillis = 0) }

private fun generation(shared: String, own: Int, sharedTokens: Int = SHARED_TOKENS): GenerationRequest {
    val parts = listOf(PromptPart(shared, sharedTokens), PromptPart("own-$shared-$own", OWN_TOKENS))
    val prompt = Prompt(parts, sharedTokens + OWN_TOKENS, 100)
    return GenerationRequest(SERVICE, ENGINE, prompt, 1_200, 6_000, maxPauseMillis = 200, bodyBytes = 17_000)
}

private fun Dispatcher.split(request: GenerationRequest): Placement.Split =
    place(request, emptySet(), 0).shouldBeInstanceOf<Placement.Split>()

/** Starts prompts at [engine] that take [millis] to process. */
private fun Dispatcher.startPrefill(engine: ListedUpstream, millis: Long) {
    recordStart(engine.id, null, (millis * PlacementCosts.DEFAULT.prefillTokensPerMilli).toInt(), 0)
}

class CacheCopyTest :
    DescribeSpec({
        describe("prompts with a long shared prefix") {
            it("are decoded on the same engine by all gateways") {
                val decodeEngines = List(20) { number ->
                    dispatcher(number.toLong()).split(generation("part", number)).decode
                }
                decodeEngines.distinct().size shouldBe 1
            }
            it("are processed by the prefix owner, which copies an evicted prefix from the decode engine") {
                val placement = dispatcher(1).split(generation("part", 1))
                placement.prefillTokens shouldBe OWN_TOKENS
                placement.cacheSource.shouldNotBeNull() shouldBe placement.decode
            }
            it("are processed by another engine, which copies the prefix, once the prefix owner has a long queue") {
                val dispatcher = dispatcher(1)
                val owner = dispatcher.split(generation("part", 1)).prefill
                dispatcher.startPrefill(owner, millis = 5_000)
                val next = dispatcher.split(generation("part", 2))
                next.prefill shouldNotBe owner
                next.cacheSource.shouldNotBeNull() shouldBe owner
            }
            it("are decoded on another engine once the usual one has many streams") {
                val dispatcher = dispatcher(1)
                val usual = dispatcher.split(generation("part", 1)).decode
                repeat(40) { dispatcher.recordStart(usual.id, null, Attempt.CACHE_TRANSFER_PREFILL_TOKENS, 0) }
                dispatcher.split(generation("part", 2)).decode shouldNotBe usual
            }
        }
        describe("a short shared prefix") {
            it("is processed rather than copied") {
                dispatcher(1).split(generation("short", 1, sharedTokens = 350)).cacheSource.shouldBeNull()
            }
        }
    })
