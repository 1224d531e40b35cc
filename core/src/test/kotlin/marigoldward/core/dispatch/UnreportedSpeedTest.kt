package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.EngineDeclaration
import kotlin.random.Random

private val PLAIN = PoolName.parse("plain")
private val ENGINES = PoolName.parse("engines")
private val ENGINE = EngineDeclaration(64, 500_000, 163_840, 1.6e6, 7, 5_000, 3_000)
private val STAGES = listOf(null, EngineStage.PREFILL, EngineStage.DECODE)

private val UPSTREAMS = List(18) { index ->
    val stage = STAGES[index % STAGES.size]
    val dataCentre = DataCentre.parse("dc-${index / 6}")
    val service = if (stage == null) PLAIN else ENGINES
    val id = UpstreamId.parse("upstream-$index")
    ListedUpstream(id, service, "127.0.0.1:80", dataCentre, 6, isLeaving = false, index % 7 == 0, stage)
}

private fun Random.request(): GenerationRequest {
    val parts = listOf(PromptPart("shared-${nextInt(6)}", 6_000), PromptPart("own-${nextInt()}", nextInt(1, 9_000)))
    val prompt = Prompt(parts, parts.sumOf { it.tokens }, 100)
    return GenerationRequest(ENGINES, ENGINE, prompt, 1_200, 6_000, maxPauseMillis = 200, bodyBytes = 17_000)
}

/** Returns the choices for a random load under [seed], in which no upstream reports how long work takes. */
private fun choices(seed: Int): List<String> {
    val random = Random(seed)
    val dispatcher = Dispatcher(DataCentre.parse("dc-0"), PlacementCosts.DEFAULT, seed.toLong())
    dispatcher.gatewayCount = 8
    dispatcher.updateUpstreams(UPSTREAMS, readMillis = 0)
    val inProgress = ArrayDeque<Attempt>()
    return List(400) { number ->
        val nowMillis = number * 7L
        val placement = if (random.nextBoolean()) {
            dispatcher.place(PLAIN, emptySet(), nowMillis)
        } else {
            dispatcher.place(random.request(), emptySet(), nowMillis)
        }
        val chosen = when (placement) {
            is Placement.Single -> listOf(placement.upstream to placement.prefillTokens)
            is Placement.Split -> listOf(placement.prefill to placement.prefillTokens, placement.decode to 1)
            is Placement.None -> emptyList()
        }
        chosen.forEach { (upstream, tokens) ->
            inProgress += dispatcher.recordStart(upstream.id, null, tokens, nowMillis)
        }
        while (inProgress.size > random.nextInt(30)) {
            val attempt = inProgress.removeFirst()
            val load = ReportedLoad(random.nextInt(9), random.nextInt(4), 6)
            dispatcher.recordReceived(attempt.upstream, load, nowMillis)
            dispatcher.recordPromptReady(attempt, nowMillis)
            val end = if (random.nextInt(15) == 0) AttemptEnd.NOT_RUN else AttemptEnd.ANSWERED
            dispatcher.recordEnd(attempt, end, nowMillis)
        }
        chosen.joinToString("+") { (upstream, tokens) -> "${upstream.id.text}:$tokens" }
    }
}

class UnreportedSpeedTest :
    DescribeSpec({
        // Guards against changed choices in deployments whose upstreams do not report how long work takes.
        describe("the choices where no upstream reports how long work takes") {
            it("are those of the version before such reports were read (45f38e0)") {
                (1..20).flatMap(::choices).hashCode() shouldBe 139_277_247
            }
        }
    })
