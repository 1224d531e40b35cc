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

private fun entry(seed: Long): Dispatcher = Dispatcher(HERE, PlacementCosts.DEFAULT, seed).apply { list(ENGINES) }

private fun generation(shared: String, own: Int, sharedTokens: Int = SHARED_TOKENS): GenerationRequest {
    val parts = listOf(PromptPart(shared, sharedTokens), PromptPart("own-$shared-$own", OWN_TOKENS))
    val prompt = Prompt(parts, sharedTokens + OWN_TOKENS, 100)
    return GenerationRequest(SERVICE, ENGINE, prompt, 1_200, 6_000, gapMillis = 200, bodyBytes = 17_000)
}

private fun Dispatcher.split(request: GenerationRequest): Placement.Split =
    place(request, emptySet(), 0).shouldBeInstanceOf<Placement.Split>()

/** Gives [engine] prompts that take [millis] to read. */
private fun Dispatcher.load(engine: ListedUpstream, millis: Long) {
    started(engine.id, null, (millis * PlacementCosts.DEFAULT.readTokensPerMilli).toInt(), 0)
}

class CacheCopyTest :
    DescribeSpec({
        describe("prompts that share one long part") {
            it("are generated where all entries look for the part") {
                val decoders = List(20) { number -> entry(number.toLong()).split(generation("part", number)).decode }
                decoders.distinct().size shouldBe 1
            }
            it("are read by the engine that keeps the part, which copies what it has dropped from one that generates") {
                val placement = entry(1).split(generation("part", 1))
                placement.tokensToRead shouldBe OWN_TOKENS
                placement.copyFrom.shouldNotBeNull() shouldBe placement.decode
            }
            it("are read by another that copies the part, once the engine that keeps it has a long queue") {
                val dispatcher = entry(1)
                val home = dispatcher.split(generation("part", 1)).prefill
                dispatcher.load(home, millis = 5_000)
                val next = dispatcher.split(generation("part", 2))
                next.prefill shouldNotBe home
                next.copyFrom.shouldNotBeNull() shouldBe home
            }
            it("are generated elsewhere once the usual engine has many streams") {
                val dispatcher = entry(1)
                val usual = dispatcher.split(generation("part", 1)).decode
                repeat(40) { dispatcher.started(usual.id, null, Attempt.TAKE_OVER_TOKENS, 0) }
                dispatcher.split(generation("part", 2)).decode shouldNotBe usual
            }
        }
        describe("a short shared part") {
            it("is read rather than copied") {
                entry(1).split(generation("short", 1, sharedTokens = 350)).copyFrom.shouldBeNull()
            }
        }
    })
