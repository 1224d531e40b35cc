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

private fun upstream(name: String, stage: EngineStage? = null, place: DataCentre = HERE, isLeaving: Boolean = false) =
    ListedUpstream(UpstreamId.parse(name), SERVICE, "127.0.0.1:80", place, 6, isLeaving, isCold = false, stage)

private fun dispatcher(vararg upstreams: ListedUpstream): Dispatcher =
    Dispatcher(HERE, PlacementCosts.DEFAULT, seed = 1).apply { list(upstreams.toList()) }

private fun readers(count: Int): List<ListedUpstream> = List(count) { upstream("reader-$it", EngineStage.PREFILL) }

private fun generation(
    shared: String,
    ownTokens: Int,
    sharedTokens: Int = 13_300,
    targetMillis: Long = 1_200,
    leftMillis: Long = 6_000,
): GenerationRequest {
    val parts = listOf(PromptPart(shared, sharedTokens), PromptPart("own-$shared-$ownTokens", ownTokens))
    val prompt = Prompt(parts, sharedTokens + ownTokens, 100)
    return GenerationRequest(SERVICE, ENGINE, prompt, targetMillis, leftMillis, gapMillis = 200, bodyBytes = 17_000)
}

private fun Dispatcher.reader(request: GenerationRequest, nowMillis: Long = 0): UpstreamId =
    place(request, emptySet(), nowMillis).shouldBeInstanceOf<Placement.Split>().prefill.id

/** Lets [engine] read a prompt from 0 until [untilMillis]. */
private fun Dispatcher.readPrompt(engine: String, untilMillis: Long) {
    val attempt = started(UpstreamId.parse(engine), null, 1_000, 0)
    promptRead(attempt, untilMillis)
    ended(attempt, AttemptEnd.ANSWERED, untilMillis)
}

class DispatcherTest :
    DescribeSpec({
        describe("a request to a plain service") {
            it("goes to the own data centre while that has places") {
                val near = upstream("near")
                val dispatcher = dispatcher(upstream("far", place = THERE), near)
                repeat(10) { dispatcher.place(SERVICE, emptySet(), 0) shouldBe Placement.Whole(near, 0) }
            }
            it("goes elsewhere once the near one is full") {
                val dispatcher = dispatcher(upstream("far", place = THERE), upstream("near"))
                repeat(7) { dispatcher.started(UpstreamId.parse("near"), null, 0, 0) }
                dispatcher.place(SERVICE, emptySet(), 0).shouldBeInstanceOf<Placement.Whole>().upstream.id.text shouldBe
                    "far"
            }
            it("never goes to one that leaves") {
                dispatcher(upstream("one", isLeaving = true)).place(SERVICE, emptySet(), 0) shouldBe
                    Placement.None(Placement.Reason.NO_UPSTREAM)
            }
            it("avoids one that could not be reached, until it is time to try again") {
                val dispatcher = dispatcher(upstream("one"))
                val attempt = dispatcher.started(UpstreamId.parse("one"), null, 0, 0)
                dispatcher.ended(attempt, AttemptEnd.UNREACHABLE, 10)
                dispatcher.place(SERVICE, emptySet(), 20) shouldBe Placement.None(Placement.Reason.NONE_USABLE)
                dispatcher.place(SERVICE, emptySet(), 600).shouldBeInstanceOf<Placement.Whole>()
            }
            it("avoids one that says nothing to a request that is long under way") {
                val dispatcher = dispatcher(upstream("one"))
                dispatcher.started(UpstreamId.parse("one"), null, 0, 0)
                dispatcher.place(SERVICE, emptySet(), 500).shouldBeInstanceOf<Placement.Whole>()
                dispatcher.place(SERVICE, emptySet(), 700) shouldBe Placement.None(Placement.Reason.NONE_USABLE)
            }
        }

        describe("an entry whose upstreams have all failed") {
            it("tries them again sooner than one that has others") {
                val dispatcher = dispatcher(upstream("one"))
                repeat(5) { round ->
                    val attempt = dispatcher.started(UpstreamId.parse("one"), null, 0, round * 10L)
                    dispatcher.ended(attempt, AttemptEnd.UNREACHABLE, round * 10L)
                }
                dispatcher.place(SERVICE, emptySet(), 100).shouldBeInstanceOf<Placement.None>()
                dispatcher.place(SERVICE, emptySet(), 600).shouldBeInstanceOf<Placement.Whole>()
            }
            it("leaves one alone at first whose address has changed hands") {
                val dispatcher = dispatcher(upstream("one"))
                val attempt = dispatcher.started(UpstreamId.parse("one"), null, 0, 0)
                dispatcher.ended(attempt, AttemptEnd.MISDIRECTED, 10)
                dispatcher.place(SERVICE, emptySet(), 100).shouldBeInstanceOf<Placement.None>()
            }
            it("uses one fully as soon as it has been heard again") {
                val one = UpstreamId.parse("one")
                val dispatcher = dispatcher(upstream("one"))
                dispatcher.ended(dispatcher.started(one, null, 0, 0), AttemptEnd.BROKEN, 10)
                dispatcher.started(one, null, 0, 20)
                dispatcher.place(SERVICE, emptySet(), 30).shouldBeInstanceOf<Placement.None>()
                dispatcher.heard(one, null, 40)
                dispatcher.place(SERVICE, emptySet(), 50).shouldBeInstanceOf<Placement.Whole>()
            }
        }

        describe("prompts that share a part, from entries that know nothing of each other") {
            it("are read by the same engine") {
                val engines = readers(4) + upstream("decoder", EngineStage.DECODE)
                val request = generation("catalogue", 3_700)
                dispatcher(*engines.toTypedArray()).reader(request) shouldBe
                    dispatcher(*engines.reversed().toTypedArray()).reader(request)
            }
            it("are spread over the engines") {
                val dispatcher = dispatcher(*(readers(4) + upstream("decoder", EngineStage.DECODE)).toTypedArray())
                val used = (1..60).map { dispatcher.reader(generation("catalogue-$it", 3_700)) }.toSet()
                used.size shouldBe 4
            }
        }

        describe("short prompts while long ones wait") {
            val dispatcher =
                dispatcher(upstream("reader-0", EngineStage.PREFILL), upstream("decoder", EngineStage.DECODE))
            dispatcher.readPrompt("reader-0", 2_000)

            it("are read by an engine that generates if that takes it one step") {
                val short = generation("summary", 500, sharedTokens = 350, targetMillis = 400)
                dispatcher.place(
                    short,
                    emptySet(),
                    2_001,
                ).shouldBeInstanceOf<Placement.Whole>().upstream.id.text shouldBe
                    "decoder"
            }
            it("go there too if only other engines were seen to be slow: one that was not heard of is no better") {
                val unknown = dispatcher(
                    upstream("reader-0", EngineStage.PREFILL),
                    upstream("reader-1", EngineStage.PREFILL),
                    upstream("decoder", EngineStage.DECODE),
                )
                unknown.readPrompt("reader-0", 2_000)
                val short = generation("summary", 500, sharedTokens = 350, targetMillis = 400)
                unknown.place(short, emptySet(), 2_001).shouldBeInstanceOf<Placement.Whole>()
            }
            it("wait with the long ones if many steps would hold up the streams there") {
                val longer = generation("summary", 9_000, sharedTokens = 350, targetMillis = 400)
                dispatcher.place(longer, emptySet(), 2_001).shouldBeInstanceOf<Placement.Split>()
            }
        }

        describe("an engine at which prompts have begun to wait") {
            val engines = readers(2) + upstream("decoder", EngineStage.DECODE)

            it("is passed over by work that would fail there, if another is known to be quick") {
                val dispatcher = dispatcher(*engines.toTypedArray())
                val request = generation("catalogue", 3_700, leftMillis = 3_000)
                val home = dispatcher.reader(request)
                engines.map { it.id }.filter { it != home && it.text != "decoder" }.forEach { other ->
                    val attempt = dispatcher.started(other, null, 1_000, 3_980)
                    dispatcher.promptRead(attempt, 4_000)
                    dispatcher.ended(attempt, AttemptEnd.ANSWERED, 4_000)
                }
                dispatcher.readPrompt(home.text, 4_000)
                dispatcher.reader(request, 4_010) shouldNotBe home
            }
            it("is passed over as soon as an earlier prompt is overdue there, before that has been read") {
                val dispatcher = dispatcher(*engines.toTypedArray())
                val request = generation("catalogue", 3_700, leftMillis = 3_000)
                val home = dispatcher.reader(request)
                dispatcher.started(home, generation("other", 3_700).prompt, 3_700, 0)
                dispatcher.reader(request, 100) shouldBe home
                dispatcher.reader(request, 2_500) shouldNotBe home
            }
            it("refuses at once what can't be served in time anywhere") {
                val dispatcher = dispatcher(*engines.toTypedArray())
                listOf("reader-0", "reader-1").forEach { dispatcher.readPrompt(it, 9_000) }
                val request = generation("catalogue", 3_700, leftMillis = 3_000)
                dispatcher.place(request, emptySet(), 9_010) shouldBe Placement.None(Placement.Reason.TOO_LATE)
            }
        }

        describe("streams on engines that generate") {
            it("are not disturbed by prompts while another engine can read them") {
                val dispatcher =
                    dispatcher(upstream("reader-0", EngineStage.PREFILL), upstream("decoder", EngineStage.DECODE))
                dispatcher.place(generation("x", 3_700), emptySet(), 0).shouldBeInstanceOf<Placement.Split>()
            }
            it("share their engine with prompts if no engine reads") {
                val dispatcher = dispatcher(upstream("decoder", EngineStage.DECODE))
                dispatcher.place(generation("x", 1_100), emptySet(), 0).shouldBeInstanceOf<Placement.Whole>()
            }
            it("are taken over by an engine that still takes work once the prompt has been read") {
                val leaving = upstream("decoder-1", EngineStage.DECODE)
                val reader = upstream("reader-0", EngineStage.PREFILL)
                val dispatcher = dispatcher(reader, leaving, upstream("decoder-2", EngineStage.DECODE))
                dispatcher.list(
                    listOf(reader, leaving.copy(isLeaving = true), upstream("decoder-2", EngineStage.DECODE)),
                )
                dispatcher.decoderOrNull(generation("x", 1_100), reader, emptySet(), 0)?.id?.text shouldBe "decoder-2"
            }
        }

        describe("a stream of long prompts through engines that generate") {
            fun Dispatcher.tokensAtDecoder(request: GenerationRequest): Int =
                place(request, emptySet(), 20).shouldBeInstanceOf<Placement.Whole>().tokensToRead

            fun Dispatcher.takeOver(request: GenerationRequest) {
                val attempt =
                    started(UpstreamId.parse("decoder"), request.prompt, Attempt.TAKE_OVER_TOKENS, 10)
                promptRead(attempt, 10)
                ended(attempt, AttemptEnd.ANSWERED, 10)
            }

            it("pushes older shared parts out of their caches") {
                val dispatcher = dispatcher(upstream("decoder", EngineStage.DECODE)).apply { entries = 1 }
                val request = generation("first", 1_100)
                dispatcher.tokensAtDecoder(request) shouldBe 14_400
                dispatcher.takeOver(request)
                dispatcher.tokensAtDecoder(request) shouldBe 1_100
                repeat(30) { dispatcher.takeOver(generation("other-$it", 1_100)) }
                dispatcher.tokensAtDecoder(request) shouldBe 14_400
            }
            it("pushes them out the sooner the more entries send there") {
                val dispatcher = dispatcher(upstream("decoder", EngineStage.DECODE)).apply { entries = 8 }
                val request = generation("first", 1_100)
                dispatcher.tokensAtDecoder(request) shouldBe 14_400
                dispatcher.takeOver(request)
                repeat(4) { dispatcher.takeOver(generation("other-$it", 1_100)) }
                dispatcher.tokensAtDecoder(request) shouldBe 14_400
            }
        }

        describe("a flood of short prompts while long ones wait") {
            it("goes to an engine that generates only until its streams would pause too long") {
                val dispatcher =
                    dispatcher(upstream("reader-0", EngineStage.PREFILL), upstream("decoder", EngineStage.DECODE))
                dispatcher.entries = 1
                dispatcher.readPrompt("reader-0", 2_000)
                val placements = List(8) {
                    val short = generation("summary", 500, sharedTokens = 350, targetMillis = 400)
                    val placement = dispatcher.place(short, emptySet(), 2_001)
                    if (placement is Placement.Whole) {
                        dispatcher.started(placement.upstream.id, null, placement.tokensToRead, 2_001)
                    }
                    placement
                }
                placements.first().shouldBeInstanceOf<Placement.Whole>()
                placements.last().shouldBeInstanceOf<Placement.Split>()
            }
        }

        describe("engines that generate") {
            val reader = upstream("reader-0", EngineStage.PREFILL)
            val near = upstream("near", EngineStage.DECODE)
            val far = upstream("far", EngineStage.DECODE, place = THERE)

            it("are the near ones while caches come there at once") {
                val dispatcher = dispatcher(reader, near, far)
                dispatcher.decoderOrNull(generation("x", 1_100), reader, emptySet(), 0)?.id?.text shouldBe "near"
            }
            it("are others once caches queue at the near one") {
                val dispatcher = dispatcher(reader, near, far)
                val attempt = dispatcher.started(near.id, null, Attempt.TAKE_OVER_TOKENS, 0)
                dispatcher.promptRead(attempt, 1_100)
                dispatcher.ended(attempt, AttemptEnd.ANSWERED, 1_200)
                val request = generation("x", 1_100, targetMillis = 400)
                dispatcher.decoderOrNull(request, reader, emptySet(), 1_201)?.id?.text shouldBe "far"
            }
            it("are others while many of the entry's own caches are on their way to the near one") {
                val dispatcher = dispatcher(reader, near, far)
                repeat(30) { dispatcher.started(near.id, null, Attempt.TAKE_OVER_TOKENS, 0) }
                val request = generation("x", 1_100, targetMillis = 400)
                dispatcher.decoderOrNull(request, reader, emptySet(), 10)?.id?.text shouldBe "far"
            }
        }

        describe("the directory") {
            it("keeps what is known of an upstream, and forgets it if another has its address") {
                val first = upstream("reader-0", EngineStage.PREFILL)
                val dispatcher = dispatcher(first)
                dispatcher.started(first.id, null, 10, 0)
                dispatcher.list(listOf(first.copy(isCold = true)))
                dispatcher.recordOrNull(first.id)?.attempts?.size shouldBe 1
                dispatcher.list(listOf(first.copy(address = "127.0.0.1:81")))
                dispatcher.recordOrNull(first.id)?.attempts?.size shouldBe 0
            }
            it("keeps an upstream that is gone until its work has ended, without giving it more") {
                val gone = upstream("one")
                val dispatcher = dispatcher(gone)
                val attempt = dispatcher.started(gone.id, null, 0, 0)
                dispatcher.list(emptyList())
                dispatcher.place(SERVICE, emptySet(), 0).shouldBeInstanceOf<Placement.None>()
                dispatcher.ended(attempt, AttemptEnd.ANSWERED, 5)
                dispatcher.list(emptyList())
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
