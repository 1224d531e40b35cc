package marigoldward.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.EngineDeclaration
import kotlin.random.Random

private val SERVICE = PoolName.parse("service")

private fun pricing(random: Random): GenerationPricing {
    val parts = listOf(PromptPart("shared", 13_300), PromptPart("own", 3_700))
    val request = GenerationRequest(
        SERVICE,
        EngineDeclaration(64, 500_000, 163_840, 1_600_000.0, 7, 5_000, 3_000),
        Prompt(parts, 17_000, 100),
        targetMillis = random.nextLong(50, 2_000),
        remainingMillis = random.nextLong(1_000, 6_000),
        maxPauseMillis = 200,
        bodyBytes = 17_000,
    )
    return GenerationPricing(request, DataCentre.parse("dc-0"), PlacementCosts.DEFAULT, 0.0, 0.0, 0)
}

private fun costs(random: Random, stage: EngineStage, count: Int): List<GenerationPricing.EngineCost> =
    List(count) { index ->
        val dataCentre = DataCentre.parse("dc-${random.nextInt(5)}")
        val id = UpstreamId.parse("$stage-$index")
        val listed = ListedUpstream(id, SERVICE, "127.0.0.1:80", dataCentre, 64, false, false, stage)
        val millis = random.nextInt(0, 40) * 50.0
        GenerationPricing.EngineCost(UpstreamRecord.fromListed(listed), 1_000, millis, random.nextInt(0, 20) / 20.0)
    }

class GenerationPricingTest :
    DescribeSpec({
        describe("the best pair of engines") {
            it("is as cheap as the cheapest of all pairs") {
                repeat(500) { seed ->
                    val random = Random(seed)
                    val pricing = pricing(random)
                    val prefillCosts = costs(random, EngineStage.PREFILL, random.nextInt(1, 60))
                    val decodeCosts = costs(random, EngineStage.DECODE, random.nextInt(1, 60))
                    val cheapest =
                        prefillCosts.flatMap { prefill -> decodeCosts.map { pricing.split(prefill, it) } }
                            .minOf { it.price }
                    withClue("seed $seed") {
                        pricing.bestSplitOrNull(prefillCosts, decodeCosts)?.price shouldBe cheapest
                    }
                }
            }
            it("does not exist without an engine of each stage") {
                val random = Random(1)
                pricing(random).bestSplitOrNull(emptyList(), costs(random, EngineStage.DECODE, 3)).shouldBeNull()
                pricing(random).bestSplitOrNull(costs(random, EngineStage.PREFILL, 3), emptyList()).shouldBeNull()
            }
        }
    })
