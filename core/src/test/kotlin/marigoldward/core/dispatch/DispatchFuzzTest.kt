package marigoldward.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.EngineDeclaration
import kotlin.random.Random

private const val RUNS = 300
private const val EVENTS_PER_RUN = 60
private val SERVICE = PoolName.parse("service")
private val NUMBERS = listOf(
    Int.MIN_VALUE, Int.MIN_VALUE + 1, -1_024, -1, 0, 1, 2, 1_023, 1_024, 1_025, 17_000,
    Int.MAX_VALUE / 2, Int.MAX_VALUE - 1_023, Int.MAX_VALUE - 1, Int.MAX_VALUE,
)
private val LONGS = NUMBERS.map { it.toLong() } + listOf(Long.MIN_VALUE, Long.MAX_VALUE, Long.MAX_VALUE - 1)
private val RATES = listOf(0.0, -1.0, 1.0, 1_600_000.0, Double.MAX_VALUE, Double.MIN_VALUE)

/** What headers, lists and configurations can describe: extreme numbers beside usual ones. */
private class Drawn(seed: Int) {
    val random = Random(seed)
    private val dataCentres = List(random.nextInt(1, 4)) { DataCentre.parse("dc-$it") }
    val dispatcher = Dispatcher(dataCentres.random(random), PlacementCosts.DEFAULT, random.nextLong())
    val upstreams = List(random.nextInt(0, 12)) { listed(it) }

    fun number(): Int = if (random.nextBoolean()) random.nextInt(0, 40_000) else NUMBERS.random(random)

    fun long(): Long = if (random.nextBoolean()) random.nextLong(0, 10_000) else LONGS.random(random)

    fun load(): ReportedLoad = ReportedLoad(number(), number(), number(), if (random.nextBoolean()) number() else null)

    fun request(): GenerationRequest {
        val declared =
            EngineDeclaration(number(), long(), long(), RATES.random(random), number(), long(), long())
        return GenerationRequest(
            SERVICE,
            if (random.nextBoolean()) declared else EngineDeclaration(64, 500_000, 163_840, 1.6e6, 7, 5_000, 3_000),
            prompt(),
            targetMillis = long(),
            remainingMillis = long(),
            maxPauseMillis = long(),
            bodyBytes = maxOf(0, number()),
            maySplit = random.nextBoolean(),
        )
    }

    private fun prompt(): Prompt {
        val count = if (random.nextInt(20) == 0) 3_000 else random.nextInt(0, 6)
        val names = listOf("a", "b", "", "\u0000", "a".repeat(5_000), "\uD800")
        return Prompt(List(count) { PromptPart(names.random(random), number()) }, number(), number())
    }

    private fun listed(index: Int): ListedUpstream = ListedUpstream(
        UpstreamId.parse("engine-$index"),
        if (random.nextInt(5) == 0) PoolName.parse("other") else SERVICE,
        "127.0.0.1:$index",
        dataCentres.random(random),
        slots = number(),
        isLeaving = random.nextInt(6) == 0,
        isCold = random.nextInt(6) == 0,
        stage = listOf(null, EngineStage.PREFILL, EngineStage.DECODE, EngineStage.DECODE).random(random),
    )
}

private fun Placement.upstreams(): List<ListedUpstream> = when (this) {
    is Placement.None -> emptyList()
    is Placement.Single -> listOfNotNull(upstream, cacheSource)
    is Placement.Split -> listOfNotNull(prefill, decode, cacheSource)
}

private fun Placement.prefillTokensOrNull(): Int? = when (this) {
    is Placement.None -> null
    is Placement.Single -> prefillTokens
    is Placement.Split -> prefillTokens
}

/** Places a request and lets the attempts at the chosen upstreams take some course. */
private fun Drawn.serveOne(nowMillis: Long) {
    val request = request()
    val tried = upstreams.filter { random.nextInt(8) == 0 }.map { it.id }.toSet()
    val placement = dispatcher.place(request, tried, nowMillis)
    placement.prefillTokensOrNull()?.let { tokens ->
        tokens shouldBeGreaterThanOrEqualTo 1
        if (request.prompt.promptTokens > 0) (tokens <= request.prompt.promptTokens) shouldBe true
    }
    placement.upstreams().forEach { upstream ->
        upstream.id shouldBeIn upstreams.map { it.id }
        val attempt = dispatcher.recordStart(
            upstream.id,
            request.prompt,
            placement.prefillTokensOrNull() ?: 0,
            nowMillis,
        )
        val end = AttemptEnd.entries.random(random)
        when (random.nextInt(4)) {
            0 -> dispatcher.recordPromptReady(attempt, nowMillis + random.nextLong(0, 5_000))
            1 -> dispatcher.recordEnd(attempt, end, nowMillis + random.nextLong(0, 5_000), random.nextBoolean())
            2 -> dispatcher.decodeEngineOrNull(request, upstream, tried, nowMillis)
            else -> Unit
        }
        dispatcher.recordReceived(upstream.id, load().takeIf { random.nextBoolean() }, nowMillis)
        val record = checkNotNull(dispatcher.recordOrNull(upstream.id))
        record.requestCount(nowMillis) shouldBeGreaterThanOrEqualTo record.attempts.size
        record.otherWaitingRequests(nowMillis) shouldBeGreaterThanOrEqualTo 0
        record.ownPendingPrefillTokens shouldBeGreaterThanOrEqualTo
            (record.attempts.values.filter { it.isPromptPending }.maxOfOrNull { it.prefillTokens.toLong() } ?: 0L)
    }
}

private fun engine(name: String) = ListedUpstream(
    UpstreamId.parse(name),
    SERVICE,
    "127.0.0.1:80",
    DataCentre.parse("dc-0"),
    slots = 64,
    isLeaving = false,
    isCold = false,
    EngineStage.DECODE,
)

private fun typicalRequest(promptTokens: Int = 100) = GenerationRequest(
    SERVICE,
    EngineDeclaration(64, 500_000, 163_840, 1.6e6, 7, 5_000, 3_000),
    Prompt(emptyList(), promptTokens, 100),
    targetMillis = 400,
    remainingMillis = 3_000,
    maxPauseMillis = 200,
    bodyBytes = 100,
)

/** Returns which of two engines, of which "busy" reports [load], gets each of 50 requests. */
private fun chosenBeside(load: ReportedLoad): Set<String> {
    val dispatcher = Dispatcher(DataCentre.parse("dc-0"), PlacementCosts.DEFAULT, 1)
    dispatcher.updateUpstreams(listOf(engine("busy"), engine("idle")), 0)
    dispatcher.recordReceived(UpstreamId.parse("busy"), load, 0)
    dispatcher.recordReceived(UpstreamId.parse("idle"), ReportedLoad(0, 0, 64), 0)
    return List(50) { dispatcher.place(typicalRequest(), emptySet(), 1) }
        .map { it.shouldBeInstanceOf<Placement.Single>().upstream.id.text }
        .toSet()
}

class DispatchFuzzTest :
    DescribeSpec({
        // Guards against a request or a report that ends in an exception on the event loop.
        describe("any prompt, list of upstreams and reported load") {
            it("gives a placement at listed upstreams, or a refusal") {
                repeat(RUNS) { seed ->
                    withClue("seed $seed") {
                        val drawn = Drawn(seed)
                        with(drawn) {
                            dispatcher.gatewayCount = number()
                            dispatcher.updateUpstreams(upstreams, 0)
                            repeat(EVENTS_PER_RUN) { event ->
                                withClue("event $event") { serveOne(nowMillis = event * 100L) }
                            }
                            val placement = dispatcher.place(SERVICE, emptySet(), 10_000)
                            placement.upstreams().forEach { it.id shouldBeIn upstreams.map { listed -> listed.id } }
                        }
                    }
                }
            }
        }
        // Guards against a negative count, with which an engine got every request, and against sums that overflow.
        describe("an engine that reports a load which it can't have") {
            it("is treated as if it had reported none") {
                val loads = listOf(Int.MAX_VALUE to 1, 1 to Int.MAX_VALUE, 0 to Int.MIN_VALUE, Int.MIN_VALUE to 0)
                loads.forEach { (running, waiting) ->
                    withClue("$running+$waiting") {
                        chosenBeside(ReportedLoad(running, waiting, 64)) shouldBe setOf("busy", "idle")
                    }
                }
            }
            it("gets fewer requests than an idle one if it can have the load") {
                chosenBeside(ReportedLoad(1_000_000, 1_000_000, 64)) shouldBe setOf("idle")
            }
        }
        describe("the steps of a prompt") {
            it("are as many as its tokens need, however many those are") {
                val expected = mapOf(
                    Int.MIN_VALUE to 0,
                    -1 to 0,
                    0 to 0,
                    1 to 1,
                    1_024 to 1,
                    1_025 to 2,
                    Int.MAX_VALUE to 2_097_152,
                )
                expected.mapValues { (tokens, _) -> GenerationPricing.prefillSteps(tokens) } shouldBe expected
            }
        }
        describe("the tokens to process of a prompt") {
            it("are at most those of the prompt, whatever the counts of its parts are") {
                val record = UpstreamRecord.fromListed(engine("engine"))
                NUMBERS.forEach { number ->
                    val parts = List(4) { PromptPart("part-$it", number) }
                    val prompt = Prompt(parts, 1_000, 1)
                    val used = record.withPrefixUses(prompt, CacheRetention.UNKNOWN, 0)
                    withClue("parts of $number tokens") {
                        val tokens = used.prefillTokens(prompt, false, CacheRetention.UNKNOWN, 1)
                        tokens shouldBe if (number <= 0) 1_000 else maxOf(1, 1_000 - minOf(1_000L, 3L * number).toInt())
                        prompt.sharedPrefixTokens shouldBe maxOf(0L, 3L * number)
                    }
                }
            }
        }
    })
