package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.core.routes.EngineDeclaration

private val HERE = DataCentre.parse("here")
private val THERE = DataCentre.parse("there")
private val SERVICE = PoolName.parse("service")
private val ENGINE = EngineDeclaration(64, 500_000, 163_840, 1_600_000.0, 7, 5_000, 3_000)

private fun upstream(
    name: String,
    stage: EngineStage? = null,
    dataCentre: DataCentre = HERE,
    isLeaving: Boolean = false,
) = ListedUpstream(UpstreamId.parse(name), SERVICE, "127.0.0.1:80", dataCentre, 6, isLeaving, isCold = false, stage)

private fun dispatcher(vararg upstreams: ListedUpstream): Dispatcher =
    Dispatcher(HERE, PlacementCosts.DEFAULT, seed = 1).apply { updateUpstreams(upstreams.toList(), readMillis = 0) }

private fun prefillEngines(count: Int): List<ListedUpstream> =
    List(count) { upstream("reader-$it", EngineStage.PREFILL) }

private fun generation(
    shared: String,
    ownTokens: Int,
    sharedTokens: Int = 13_300,
    targetMillis: Long = 1_200,
    remainingMillis: Long = 6_000,
): GenerationRequest {
    val parts = listOf(PromptPart(shared, sharedTokens), PromptPart("own-$shared-$ownTokens", ownTokens))
    val prompt = Prompt(parts, sharedTokens + ownTokens, 100)
    return GenerationRequest(
        SERVICE,
        ENGINE,
        prompt,
        targetMillis,
        remainingMillis,
        maxPauseMillis = 200,
        bodyBytes = 17_000,
    )
}

private fun Dispatcher.chosenPrefillEngine(request: GenerationRequest, nowMillis: Long = 0): UpstreamId =
    place(request, emptySet(), nowMillis).shouldBeInstanceOf<Placement.Split>().prefill.id

/** Records a prompt that [engine] processes from 0 until [untilMillis]. */
private fun Dispatcher.processPrompt(engine: String, untilMillis: Long) {
    val attempt = recordStart(UpstreamId.parse(engine), null, 1_000, 0)
    recordPromptReady(attempt, untilMillis)
    recordEnd(attempt, AttemptEnd.ANSWERED, untilMillis)
}

private fun Dispatcher.chosenId(nowMillis: Long): String =
    place(SERVICE, emptySet(), nowMillis).shouldBeInstanceOf<Placement.Single>().upstream.id.text

/** Records two answers of the upstream [name] that have begun at 5 and break off at 10. */
private fun Dispatcher.breakOffTwo(name: String) {
    val id = UpstreamId.parse(name)
    val attempts = List(2) { recordStart(id, null, 0, 0) }
    recordReceived(id, null, 5)
    attempts.forEach { recordEnd(it, AttemptEnd.BROKEN, 10, hasReceivedBytes = true) }
}

class DispatcherTest :
    DescribeSpec({
        describe("a request to a plain service") {
            it("goes to an upstream in the same data centre while that has free slots") {
                val near = upstream("near")
                val dispatcher = dispatcher(upstream("far", dataCentre = THERE), near)
                repeat(10) { dispatcher.place(SERVICE, emptySet(), 0) shouldBe Placement.Single(near, 0) }
            }
            it("goes to another data centre once the near upstream is full") {
                val dispatcher = dispatcher(upstream("far", dataCentre = THERE), upstream("near"))
                repeat(7) { dispatcher.recordStart(UpstreamId.parse("near"), null, 0, 0) }
                val placement = dispatcher.place(SERVICE, emptySet(), 0).shouldBeInstanceOf<Placement.Single>()
                placement.upstream.id.text shouldBe "far"
            }
            it("never goes to a leaving upstream") {
                dispatcher(upstream("one", isLeaving = true)).place(SERVICE, emptySet(), 0) shouldBe
                    Placement.None(Placement.Reason.NO_UPSTREAM)
            }
            // Guards against requests to an upstream that has said in an answer that it is leaving.
            it("never goes to an upstream that has announced in an answer that it is leaving, whatever is listed") {
                val leaving = upstream("one")
                val other = upstream("two", dataCentre = THERE)
                val dispatcher = dispatcher(leaving, other)
                val attempt = dispatcher.recordStart(leaving.id, null, 0, 0)
                dispatcher.recordLeaving(leaving, 5) shouldBe true
                dispatcher.place(SERVICE, emptySet(), 5) shouldBe Placement.Single(other, 0)
                dispatcher.updateUpstreams(listOf(leaving, other), readMillis = 600)
                dispatcher.place(SERVICE, emptySet(), 600) shouldBe Placement.Single(other, 0)
                dispatcher.recordEnd(attempt, AttemptEnd.ANSWERED, 700)
                dispatcher.place(SERVICE, setOf(other.id), 700) shouldBe
                    Placement.None(Placement.Reason.NONE_USABLE)
                dispatcher.updateUpstreams(listOf(leaving), readMillis = 1_200)
                dispatcher.place(SERVICE, emptySet(), 1_200) shouldBe Placement.None(Placement.Reason.NO_UPSTREAM)
            }
            it("goes to an upstream at another address than the one that has announced that it is leaving") {
                val old = upstream("one")
                val dispatcher = dispatcher(old)
                val new = old.copy(address = "127.0.0.1:81")
                dispatcher.updateUpstreams(listOf(new), readMillis = 10)
                dispatcher.recordLeaving(old, 20) shouldBe false
                dispatcher.place(SERVICE, emptySet(), 20) shouldBe Placement.Single(new, 0)
            }
            it("avoids an unreachable upstream until its ejection is over") {
                val dispatcher = dispatcher(upstream("one"))
                val attempt = dispatcher.recordStart(UpstreamId.parse("one"), null, 0, 0)
                dispatcher.recordEnd(attempt, AttemptEnd.UNREACHABLE, 10)
                dispatcher.place(SERVICE, emptySet(), 20) shouldBe Placement.None(Placement.Reason.NONE_USABLE)
                dispatcher.place(SERVICE, emptySet(), 600).shouldBeInstanceOf<Placement.Single>()
            }
            it("avoids an upstream that has sent nothing for too long") {
                val dispatcher = dispatcher(upstream("one"))
                dispatcher.recordStart(UpstreamId.parse("one"), null, 0, 0)
                dispatcher.place(SERVICE, emptySet(), 500).shouldBeInstanceOf<Placement.Single>()
                dispatcher.place(SERVICE, emptySet(), 700) shouldBe Placement.None(Placement.Reason.NONE_USABLE)
            }
        }

        describe("an upstream that sent bytes for another request, and then accepted no connection") {
            val dispatcher = dispatcher(upstream("gone"), upstream("other"))
            val gone = UpstreamId.parse("gone")
            val attempts = List(40) { dispatcher.recordStart(gone, null, 0, 0) }
            val answering = dispatcher.recordStart(gone, null, 0, 0)
            dispatcher.recordReceived(gone, null, 5)
            attempts.forEach {
                dispatcher.recordEnd(it, AttemptEnd.SILENT, 900)
                dispatcher.recordUnreachable(gone, 900)
            }
            // Guards against new requests that are placed at an engine that a failed probe has shown to be gone.
            it("gets no new requests") {
                dispatcher.place(SERVICE, setOf(UpstreamId.parse("other")), 901).shouldBeInstanceOf<Placement.None>()
            }
            // Guards against an ejection that is doubled by each request that waited for the same probe.
            it("is ejected once, however many requests waited for the probe") {
                dispatcher.recordOrNull(gone)?.health?.consecutiveFailures shouldBe 1
            }
            // Guards against an engine that is used again as soon as an answer from before the probe breaks off.
            it("gets none when an answer that began before the probe breaks off") {
                dispatcher.recordEnd(answering, AttemptEnd.BROKEN, 902, hasReceivedBytes = true)
                dispatcher.place(SERVICE, setOf(UpstreamId.parse("other")), 903).shouldBeInstanceOf<Placement.None>()
            }
        }

        describe("a dispatcher whose upstreams have all failed") {
            it("tries them again after the shortest ejection, however often they have failed") {
                val dispatcher = dispatcher(upstream("one"))
                repeat(5) { round ->
                    val attempt = dispatcher.recordStart(UpstreamId.parse("one"), null, 0, round * 10L)
                    dispatcher.recordEnd(attempt, AttemptEnd.UNREACHABLE, round * 10L)
                }
                dispatcher.place(SERVICE, emptySet(), 100).shouldBeInstanceOf<Placement.None>()
                dispatcher.place(SERVICE, emptySet(), 600).shouldBeInstanceOf<Placement.Single>()
            }
            it("avoids an upstream for a while whose address belongs to another") {
                val dispatcher = dispatcher(upstream("one"))
                val attempt = dispatcher.recordStart(UpstreamId.parse("one"), null, 0, 0)
                dispatcher.recordEnd(attempt, AttemptEnd.MISDIRECTED, 10)
                dispatcher.place(SERVICE, emptySet(), 100).shouldBeInstanceOf<Placement.None>()
            }
            it("uses an upstream fully as soon as it has sent bytes again") {
                val one = UpstreamId.parse("one")
                val dispatcher = dispatcher(upstream("one"))
                dispatcher.recordEnd(dispatcher.recordStart(one, null, 0, 0), AttemptEnd.BROKEN, 10)
                dispatcher.recordStart(one, null, 0, 20)
                dispatcher.place(SERVICE, emptySet(), 30).shouldBeInstanceOf<Placement.None>()
                dispatcher.recordReceived(one, null, 40)
                dispatcher.place(SERVICE, emptySet(), 50).shouldBeInstanceOf<Placement.Single>()
            }
        }

        describe("a dispatcher whose upstreams have all broken off answers that had begun") {
            // Guards against a service that is refused for 0.5 s since all its upstreams break off a part of their answers.
            it("goes on to send to them, several requests at once") {
                val ids = List(3) { "one-$it" }
                val dispatcher = dispatcher(*ids.map { upstream(it) }.toTypedArray())
                ids.forEach { dispatcher.breakOffTwo(it) }
                val placed = List(9) { number ->
                    val chosen = dispatcher.place(SERVICE, emptySet(), 20L + number)
                    val id = chosen.shouldBeInstanceOf<Placement.Single>().upstream.id
                    dispatcher.recordStart(id, null, 0, 20L + number)
                    id
                }
                placed.toSet().map { it.text }.sorted() shouldBe ids
            }
            it("still prefers an upstream that has not") {
                val dispatcher = dispatcher(upstream("broken"), upstream("sound"))
                dispatcher.breakOffTwo("broken")
                repeat(10) { dispatcher.chosenId(20) shouldBe "sound" }
            }
            it("avoids one that can't be reached since") {
                val dispatcher = dispatcher(upstream("one"))
                dispatcher.breakOffTwo("one")
                val attempt = dispatcher.recordStart(UpstreamId.parse("one"), null, 0, 20)
                dispatcher.recordEnd(attempt, AttemptEnd.UNREACHABLE, 21)
                dispatcher.place(SERVICE, emptySet(), 30) shouldBe Placement.None(Placement.Reason.NONE_USABLE)
            }
            // Guards against requests to a crashed upstream whose old connections end after a new one has failed.
            it("avoids one that can't be reached, though older answers break off after that") {
                val dispatcher = dispatcher(upstream("one"))
                val id = UpstreamId.parse("one")
                val begun = List(3) { dispatcher.recordStart(id, null, 0, 0) }
                dispatcher.recordReceived(id, null, 5)
                dispatcher.recordEnd(begun[0], AttemptEnd.BROKEN, 10, hasReceivedBytes = true)
                dispatcher.recordEnd(dispatcher.recordStart(id, null, 0, 11), AttemptEnd.UNREACHABLE, 12)
                begun.drop(1).forEach { dispatcher.recordEnd(it, AttemptEnd.BROKEN, 13, hasReceivedBytes = true) }
                dispatcher.place(SERVICE, emptySet(), 20) shouldBe Placement.None(Placement.Reason.NONE_USABLE)
            }
            // Guards against a service without upstreams after a reset of all connections, of which some answered.
            it("uses one that has sent bytes for another request while it lost connections") {
                val dispatcher = dispatcher(upstream("one"))
                val id = UpstreamId.parse("one")
                val attempts = List(3) { dispatcher.recordStart(id, null, 0, 0) }
                dispatcher.recordReceived(id, null, 5)
                attempts.drop(1).forEach { dispatcher.recordEnd(it, AttemptEnd.BROKEN, 10) }
                dispatcher.place(SERVICE, emptySet(), 20).shouldBeInstanceOf<Placement.Single>()
            }
            it("avoids one that has sent nothing since the attempts that it lost began") {
                val dispatcher = dispatcher(upstream("one"))
                val id = UpstreamId.parse("one")
                dispatcher.recordReceived(id, null, 5)
                val attempts = List(2) { dispatcher.recordStart(id, null, 0, 6) }
                attempts.forEach { dispatcher.recordEnd(it, AttemptEnd.BROKEN, 10) }
                dispatcher.place(SERVICE, emptySet(), 20) shouldBe Placement.None(Placement.Reason.NONE_USABLE)
            }
            it("avoids one that has asked for no requests or is silent since") {
                val dispatcher = dispatcher(upstream("refuses"), upstream("silent"))
                listOf("refuses", "silent").forEach { dispatcher.breakOffTwo(it) }
                dispatcher.recordRefusal(UpstreamId.parse("refuses"), 1_000, 20)
                dispatcher.recordStart(UpstreamId.parse("silent"), null, 0, 20)
                dispatcher.chosenId(30) shouldBe "silent"
                dispatcher.place(SERVICE, emptySet(), 700) shouldBe Placement.None(Placement.Reason.NONE_USABLE)
            }
        }

        describe("prompts with a shared prefix, from gateways that do not communicate") {
            it("are processed by the same engine") {
                val engines = prefillEngines(4) + upstream("decoder", EngineStage.DECODE)
                val request = generation("catalogue", 3_700)
                dispatcher(*engines.toTypedArray()).chosenPrefillEngine(request) shouldBe
                    dispatcher(*engines.reversed().toTypedArray()).chosenPrefillEngine(request)
            }
            it("are spread over the engines by their prefixes") {
                val engines = prefillEngines(4) + upstream("decoder", EngineStage.DECODE)
                val dispatcher = dispatcher(*engines.toTypedArray())
                val used = (1..60).map { dispatcher.chosenPrefillEngine(generation("catalogue-$it", 3_700)) }.toSet()
                used.size shouldBe 4
            }
        }

        describe("short prompts while long ones wait") {
            val dispatcher =
                dispatcher(upstream("reader-0", EngineStage.PREFILL), upstream("decoder", EngineStage.DECODE))
            dispatcher.processPrompt("reader-0", 2_000)

            it("are processed by a decode engine if that takes one step") {
                val short = generation("summary", 500, sharedTokens = 350, targetMillis = 400)
                val placement = dispatcher.place(short, emptySet(), 2_001).shouldBeInstanceOf<Placement.Single>()
                placement.upstream.id.text shouldBe "decoder"
            }
            it("go to the decode engine too if one prefill engine was slow and nothing is known of the other") {
                val unknown = dispatcher(
                    upstream("reader-0", EngineStage.PREFILL),
                    upstream("reader-1", EngineStage.PREFILL),
                    upstream("decoder", EngineStage.DECODE),
                )
                unknown.processPrompt("reader-0", 2_000)
                val short = generation("summary", 500, sharedTokens = 350, targetMillis = 400)
                unknown.place(short, emptySet(), 2_001).shouldBeInstanceOf<Placement.Single>()
            }
            it("wait with the long ones if many steps would delay the streams of the decode engine") {
                val longer = generation("summary", 9_000, sharedTokens = 350, targetMillis = 400)
                dispatcher.place(longer, emptySet(), 2_001).shouldBeInstanceOf<Placement.Split>()
            }
        }

        describe("a prefill engine with queued prompts") {
            val engines = prefillEngines(2) + upstream("decoder", EngineStage.DECODE)

            it("is avoided by requests that would be late there, if another is known to be fast") {
                val dispatcher = dispatcher(*engines.toTypedArray())
                val request = generation("catalogue", 3_700, remainingMillis = 3_000)
                val owner = dispatcher.chosenPrefillEngine(request)
                engines.map { it.id }.filter { it != owner && it.text != "decoder" }.forEach { other ->
                    val attempt = dispatcher.recordStart(other, null, 1_000, 3_980)
                    dispatcher.recordPromptReady(attempt, 4_000)
                    dispatcher.recordEnd(attempt, AttemptEnd.ANSWERED, 4_000)
                }
                dispatcher.processPrompt(owner.text, 4_000)
                dispatcher.chosenPrefillEngine(request, 4_010) shouldNotBe owner
            }
            it("is avoided as soon as an earlier prompt is overdue there, before it has been processed") {
                val dispatcher = dispatcher(*engines.toTypedArray())
                val request = generation("catalogue", 3_700, remainingMillis = 3_000)
                val owner = dispatcher.chosenPrefillEngine(request)
                dispatcher.recordStart(owner, generation("other", 3_700).prompt, 3_700, 0)
                dispatcher.chosenPrefillEngine(request, 100) shouldBe owner
                dispatcher.chosenPrefillEngine(request, 2_500) shouldNotBe owner
            }
            it("gets no requests that cannot be served in time by any engine") {
                val dispatcher = dispatcher(*engines.toTypedArray())
                listOf("reader-0", "reader-1").forEach { dispatcher.processPrompt(it, 9_000) }
                val request = generation("catalogue", 3_700, remainingMillis = 3_000)
                dispatcher.place(request, emptySet(), 9_010) shouldBe Placement.None(Placement.Reason.TOO_LATE)
            }
        }

        describe("streams on decode engines") {
            it("are not delayed by prompts while a prefill engine can process them") {
                val dispatcher =
                    dispatcher(upstream("reader-0", EngineStage.PREFILL), upstream("decoder", EngineStage.DECODE))
                dispatcher.place(generation("x", 3_700), emptySet(), 0).shouldBeInstanceOf<Placement.Split>()
            }
            it("share their engine with prompts if there is no prefill engine") {
                val dispatcher = dispatcher(upstream("decoder", EngineStage.DECODE))
                dispatcher.place(generation("x", 1_100), emptySet(), 0).shouldBeInstanceOf<Placement.Single>()
            }
            it("never go to an engine that has announced that it is leaving, and copy nothing from it") {
                val engines = List(3) { upstream("decoder-$it", EngineStage.DECODE) } + prefillEngines(3)
                val dispatcher = dispatcher(*engines.toTypedArray())
                val leaving = setOf(engines[0], engines[3])
                leaving.forEach { dispatcher.recordLeaving(it, 0) shouldBe true }
                dispatcher.prefillEngineCount(SERVICE) shouldBe 2
                repeat(20) { number ->
                    val request = generation("shared-$number", 1_100)
                    val used = when (val placement = dispatcher.place(request, emptySet(), 0)) {
                        is Placement.Split -> listOf(placement.prefill, placement.decode, placement.cacheSource)
                        is Placement.Single -> listOf(placement.upstream, placement.cacheSource)
                        is Placement.None -> error("refused as ${placement.reason}")
                    }
                    used.filter { it in leaving } shouldBe emptyList()
                    dispatcher.decodeEngineOrNull(request, engines[4], emptySet(), 0) shouldNotBe engines[0]
                }
            }
            it("go to an engine that accepts new requests once the prompt has been processed") {
                val leaving = upstream("decoder-1", EngineStage.DECODE)
                val prefillEngine = upstream("reader-0", EngineStage.PREFILL)
                val dispatcher = dispatcher(prefillEngine, leaving, upstream("decoder-2", EngineStage.DECODE))
                dispatcher.updateUpstreams(
                    listOf(prefillEngine, leaving.copy(isLeaving = true), upstream("decoder-2", EngineStage.DECODE)),
                    readMillis = 1,
                )
                val decodeEngine = dispatcher.decodeEngineOrNull(generation("x", 1_100), prefillEngine, emptySet(), 0)
                decodeEngine?.id?.text shouldBe "decoder-2"
            }
        }

        describe("many long prompts on a decode engine") {
            fun Dispatcher.prefillTokensAtDecodeEngine(request: GenerationRequest): Int =
                place(request, emptySet(), 20).shouldBeInstanceOf<Placement.Single>().prefillTokens

            fun Dispatcher.transferCache(request: GenerationRequest) {
                val attempt =
                    recordStart(UpstreamId.parse("decoder"), request.prompt, Attempt.CACHE_TRANSFER_PREFILL_TOKENS, 10)
                recordPromptReady(attempt, 10)
                recordEnd(attempt, AttemptEnd.ANSWERED, 10)
            }

            it("evict older shared prefixes from its cache") {
                val dispatcher = dispatcher(upstream("decoder", EngineStage.DECODE)).apply { gatewayCount = 1 }
                val request = generation("first", 1_100)
                dispatcher.prefillTokensAtDecodeEngine(request) shouldBe 14_400
                dispatcher.transferCache(request)
                dispatcher.prefillTokensAtDecodeEngine(request) shouldBe 1_100
                repeat(30) { dispatcher.transferCache(generation("other-$it", 1_100)) }
                dispatcher.prefillTokensAtDecodeEngine(request) shouldBe 14_400
            }
            it("evict them the sooner, the more gateways send requests") {
                val dispatcher = dispatcher(upstream("decoder", EngineStage.DECODE)).apply { gatewayCount = 8 }
                val request = generation("first", 1_100)
                dispatcher.prefillTokensAtDecodeEngine(request) shouldBe 14_400
                dispatcher.transferCache(request)
                repeat(4) { dispatcher.transferCache(generation("other-$it", 1_100)) }
                dispatcher.prefillTokensAtDecodeEngine(request) shouldBe 14_400
            }
        }

        describe("a burst of short prompts while long ones wait") {
            it("goes to a decode engine only until its streams would pause too long") {
                val dispatcher =
                    dispatcher(upstream("reader-0", EngineStage.PREFILL), upstream("decoder", EngineStage.DECODE))
                dispatcher.gatewayCount = 1
                dispatcher.processPrompt("reader-0", 2_000)
                val placements = List(8) {
                    val short = generation("summary", 500, sharedTokens = 350, targetMillis = 400)
                    val placement = dispatcher.place(short, emptySet(), 2_001)
                    if (placement is Placement.Single) {
                        dispatcher.recordStart(placement.upstream.id, null, placement.prefillTokens, 2_001)
                    }
                    placement
                }
                placements.first().shouldBeInstanceOf<Placement.Single>()
                placements.last().shouldBeInstanceOf<Placement.Split>()
            }
        }

        describe("the choice of a decode engine") {
            val prefillEngine = upstream("reader-0", EngineStage.PREFILL)
            val near = upstream("near", EngineStage.DECODE)
            val far = upstream("far", EngineStage.DECODE, dataCentre = THERE)

            it("prefers the near one while KV caches arrive there without delay") {
                val dispatcher = dispatcher(prefillEngine, near, far)
                val decodeEngine = dispatcher.decodeEngineOrNull(generation("x", 1_100), prefillEngine, emptySet(), 0)
                decodeEngine?.id?.text shouldBe "near"
            }
            it("avoids the near one once KV caches queue there") {
                val dispatcher = dispatcher(prefillEngine, near, far)
                val attempt = dispatcher.recordStart(near.id, null, Attempt.CACHE_TRANSFER_PREFILL_TOKENS, 0)
                dispatcher.recordPromptReady(attempt, 1_100)
                dispatcher.recordEnd(attempt, AttemptEnd.ANSWERED, 1_200)
                val request = generation("x", 1_100, targetMillis = 400)
                dispatcher.decodeEngineOrNull(request, prefillEngine, emptySet(), 1_201)?.id?.text shouldBe "far"
            }
            it("avoids the near one while many KV caches of the gateway are on their way there") {
                val dispatcher = dispatcher(prefillEngine, near, far)
                repeat(30) { dispatcher.recordStart(near.id, null, Attempt.CACHE_TRANSFER_PREFILL_TOKENS, 0) }
                val request = generation("x", 1_100, targetMillis = 400)
                dispatcher.decodeEngineOrNull(request, prefillEngine, emptySet(), 10)?.id?.text shouldBe "far"
            }
        }

        describe("an update of the upstreams") {
            it("keeps the record of an upstream, unless its address has changed") {
                val first = upstream("reader-0", EngineStage.PREFILL).copy(isCold = true)
                val dispatcher = dispatcher(first)
                dispatcher.recordStart(first.id, null, 10, 0)
                dispatcher.updateUpstreams(listOf(first.copy(isCold = false, slots = 7)), readMillis = 1)
                dispatcher.recordOrNull(first.id)?.attempts?.size shouldBe 1
                dispatcher.updateUpstreams(listOf(first.copy(address = "127.0.0.1:81")), readMillis = 2)
                dispatcher.recordOrNull(first.id)?.attempts?.size shouldBe 0
            }
            // Guards against what was observed of a start of an upstream and is held against the next one.
            listOf<(ListedUpstream) -> ListedUpstream>(
                { it.copy(startedUnixMillis = 2) },
                { it.copy(startedUnixMillis = null, isCold = true) },
            ).forEachIndexed { case, restart ->
                it(
                    "forgets all that was observed of an upstream when it has started again, and what comes late ($case)",
                ) {
                    val first = upstream("one").copy(startedUnixMillis = 1)
                    val dispatcher = dispatcher(first)
                    val early = dispatcher.recordStart(first.id, null, 0, 0)
                    repeat(3) { dispatcher.recordStart(first.id, null, 0, 0) }
                    dispatcher.recordRefusal(first.id, 60_000, 5)
                    dispatcher.recordReceived(first.id, ReportedLoad(6, 20, 6), 5)
                    val restarted = restart(first)
                    dispatcher.updateUpstreams(listOf(restarted), readMillis = 10).restarted shouldBe listOf(restarted)
                    val fresh = UpstreamRecord.fromListed(restarted, dispatcher.recordOrNull(first.id)!!.startNumber)
                        .listedAgain(restarted)
                    dispatcher.recordOrNull(first.id) shouldBe fresh
                    dispatcher.hasRestartedSince(early) shouldBe true
                    dispatcher.recordEnd(early, AttemptEnd.BROKEN, 15)
                    dispatcher.recordOrNull(first.id) shouldBe fresh
                    dispatcher.hasRestartedSince(dispatcher.recordStart(first.id, null, 0, 15)) shouldBe false
                    dispatcher.updateUpstreams(listOf(restarted), readMillis = 20).restarted shouldBe emptyList()
                }
            }
            // Guards against an answer of the start before that comes late and keeps requests away from the next one.
            it("takes no announcement of a start before the one that is listed") {
                val first = upstream("one").copy(startedUnixMillis = 1)
                val dispatcher = dispatcher(first)
                dispatcher.updateUpstreams(listOf(first.copy(startedUnixMillis = 2)), readMillis = 10)
                dispatcher.recordLeaving(first, 20) shouldBe false
                dispatcher.acceptsRequests(first.id) shouldBe true
            }
            it("keeps an unlisted upstream until its attempts have ended, without placing more requests there") {
                val gone = upstream("one")
                val dispatcher = dispatcher(gone)
                val attempt = dispatcher.recordStart(gone.id, null, 0, 0)
                dispatcher.updateUpstreams(emptyList(), readMillis = 1)
                dispatcher.place(SERVICE, emptySet(), 0).shouldBeInstanceOf<Placement.None>()
                dispatcher.recordEnd(attempt, AttemptEnd.ANSWERED, 5)
                dispatcher.updateUpstreams(emptyList(), readMillis = 1)
                dispatcher.recordOrNull(gone.id) shouldBe null
            }
        }
        describe("prefix keys") {
            it("are equal for equal prefixes only") {
                val one = Prompt(listOf(PromptPart("a", 1), PromptPart("b", 1), PromptPart("x", 1)), 3, 1).prefixKeys
                val two = Prompt(listOf(PromptPart("a", 1), PromptPart("b", 1), PromptPart("y", 1)), 3, 1).prefixKeys
                val other = Prompt(listOf(PromptPart("b", 1), PromptPart("a", 1), PromptPart("x", 1)), 3, 1).prefixKeys
                one.take(2) shouldBe two.take(2)
                two shouldNotContain one[2]
                one shouldContain two[0]
                (other.intersect(one.toSet())) shouldBe emptySet()
            }
        }
    })
