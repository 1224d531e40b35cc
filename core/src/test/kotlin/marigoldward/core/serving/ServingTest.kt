package marigoldward.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf

class ServingTest :
    DescribeSpec({
        describe("admission") {
            it("refuses truly while shutting down") {
                val fixture = ServingFixture(engines = 1)
                fixture.handle(ServingEvent.ShutDown)
                val refusal = fixture.arrive(fixture.spec()).refusals().single()
                refusal.refusal shouldBe Refusal.ShuttingDown
                refusal.mayHaveRun shouldBe false
            }
            it("refuses a request that needs more KV cache than an engine has") {
                val fixture = ServingFixture(engines = 1)
                fixture.arrive(fixture.spec(promptTokens = 500_000)).refusals().single().refusal
                    .shouldBeInstanceOf<Refusal.TooLarge>()
            }
            it("keeps one caller's flood from filling the queue") {
                val fixture = ServingFixture(engines = 1, slots = 1)
                val flood = (1..4_000).flatMap {
                    fixture.arrive(fixture.spec(fixture.routine, outputTokens = 1, caller = "flood"))
                }
                flood.refusals().map { it.refusal.label }.toSet() shouldBe setOf("caller_over_share")
                fixture.arrive(fixture.spec(fixture.routine, caller = "other")).refusals().shouldBeEmpty()
            }
            it("refuses work that waited as long as its class may, and says that it was not run") {
                val fixture = ServingFixture(engines = 0)
                fixture.list(listOf(marigoldward.core.model.UpstreamId.parse("gone")), emptyList())
                fixture.handle(
                    ServingEvent.Restricted(emptySet(), setOf(marigoldward.core.model.UpstreamId.parse("gone"))),
                )
                fixture.arrive(fixture.spec()).shouldBeEmpty()
                val refusal = fixture.pass(600).refusals().single()
                refusal.refusal.shouldBeInstanceOf<Refusal.Expired>()
                refusal.mayHaveRun shouldBe false
            }
        }
        describe("order") {
            it("sends the first class before a lower one that came earlier") {
                val fixture = ServingFixture(engines = 1, slots = 1)
                val running = fixture.arrive(fixture.spec()).dispatches().single()
                repeat(3) { fixture.arrive(fixture.spec()) }
                fixture.arrive(fixture.spec(fixture.routine))
                val late = fixture.spec()
                fixture.arrive(late)
                fixture.state.pools.values.single().queues.getValue(fixture.routine.name).size shouldBe 1
                fixture.finish(running, AttemptResult.Done)
                fixture.state.pools.values.single().queues.getValue(fixture.routine.name).size shouldBe 1
            }
            it("gives a lower class its guaranteed share in a flood of the first") {
                val fixture = ServingFixture(engines = 1, slots = 4)
                repeat(40) { fixture.arrive(fixture.spec(fixture.routine, promptTokens = 400, outputTokens = 100)) }
                var open = emptyList<ServingAction.Dispatch>()
                var routine = 0
                var all = 0
                repeat(300) {
                    val actions =
                        fixture.arrive(fixture.spec(promptTokens = 400, outputTokens = 100)) + fixture.pass(10)
                    open = open + actions.dispatches()
                    open.firstOrNull()?.let { oldest ->
                        all++
                        open = open.drop(1) + fixture.finish(oldest, AttemptResult.Done).dispatches()
                    }
                }
                routine = 40 - fixture.state.pools.values.single().queues.getValue(fixture.routine.name).size
                routine shouldBeGreaterThanOrEqual minOf(40, all / 4 - 2)
            }
        }
        describe("routing") {
            it("gives a leaving upstream nothing new") {
                val fixture = ServingFixture(engines = 2, slots = 10)
                fixture.list(fixture.names.take(1), fixture.names.drop(1))
                val routes = (1..6).flatMap { fixture.arrive(fixture.spec()) }.dispatches().map { it.route.answering }
                routes.toSet() shouldContainExactly setOf(fixture.names[0])
            }
            it("gives an engine that is set aside nothing") {
                val fixture = ServingFixture(engines = 2, slots = 10)
                fixture.handle(ServingEvent.Restricted(emptySet(), setOf(fixture.names[0])))
                val routes = (1..6).flatMap { fixture.arrive(fixture.spec()) }.dispatches().map { it.route.answering }
                routes.toSet() shouldContainExactly setOf(fixture.names[1])
            }
            it("counts its own dispatches since the last report") {
                val fixture = ServingFixture(engines = 4, slots = 10)
                val routes = (1..8).flatMap { fixture.arrive(fixture.spec()) }.dispatches().map { it.route.answering }
                routes.groupingBy { it }.eachCount().values.max() shouldBeLessThanOrEqual 3
            }
            it("sends equal prefixes to the same engine while it is not loaded") {
                val fixture = ServingFixture(engines = 4, slots = 10)
                val pieces = listOf(1L, 2L, 3L)
                val routes = (1..5).map {
                    val dispatch = fixture.arrive(
                        fixture.spec(promptTokens = 13_000, pieces = pieces),
                    ).dispatches().single()
                    fixture.handle(ServingEvent.Prefilled(dispatch.id, dispatch.attempt))
                    fixture.finish(dispatch, AttemptResult.Done)
                    dispatch.route.answering
                }
                routes.toSet() shouldHaveSize 1
            }
            it("ejects an upstream that fails again and again, and probes it later") {
                val fixture = ServingFixture(engines = 1, slots = 10)
                repeat(3) { fixture.handle(ServingEvent.ReportMissed(fixture.names[0])) }
                fixture.arrive(fixture.spec()).dispatches().shouldBeEmpty()
                fixture.pass(500).dispatches() shouldHaveSize 1
                fixture.arrive(fixture.spec()).dispatches().shouldBeEmpty()
            }
        }
        describe("retries") {
            it("never repeat a request that may not be repeated once a byte of it was sent") {
                val fixture = ServingFixture(engines = 2)
                val dispatch = fixture.arrive(fixture.spec(isRepeatable = false)).dispatches().single()
                val actions = fixture.finish(dispatch, AttemptResult.Broken(0, isCrash = false)) + fixture.pass(1_000)
                actions.dispatches().shouldBeEmpty()
                actions.refusals().single().mayHaveRun shouldBe true
            }
            it("send it elsewhere if it certainly did not run") {
                val fixture = ServingFixture(engines = 2)
                val dispatch = fixture.arrive(fixture.spec(isRepeatable = false)).dispatches().single()
                val actions =
                    fixture.finish(dispatch, AttemptResult.NotRun(isUpstreamFault = true)) + fixture.pass(1_000)
                actions.dispatches() shouldHaveSize 1
            }
            it("go on after the tokens that the caller has") {
                val fixture = ServingFixture(engines = 2)
                val dispatch = fixture.arrive(fixture.spec()).dispatches().single()
                val actions = fixture.finish(dispatch, AttemptResult.Broken(4, isCrash = false)) + fixture.pass(1_000)
                actions.dispatches().single().deliveredTokens shouldBe 4
            }
            it("stop when too much fails") {
                val fixture = ServingFixture(engines = 8, slots = 100)
                var refused = emptyList<ServingAction.Refuse>()
                repeat(60) {
                    val dispatch = fixture.arrive(fixture.spec()).dispatches().singleOrNull() ?: return@repeat
                    val actions = fixture.finish(dispatch, AttemptResult.Broken(0, isCrash = false))
                    refused = refused + actions.refusals()
                    fixture.names.forEach { fixture.report(it) }
                    val repeated = (actions + fixture.pass(700)).dispatches()
                    repeated.forEach { fixture.finish(it, AttemptResult.Done) }
                }
                refused.map { it.refusal.label }.toSet() shouldBe setOf("retry_budget_spent")
            }
        }
        describe("requests that crash upstreams") {
            it("are convicted at the second crash, and their like is refused as not run") {
                val fixture = ServingFixture(engines = 4)
                val first = fixture.arrive(fixture.spec(fingerprint = "bad0")).dispatches().single()
                val second = (
                    fixture.finish(
                        first,
                        AttemptResult.Broken(0, isCrash = true),
                    ) + fixture.pass(1_000)
                    ).dispatches().single()
                second.isSuspect shouldBe true
                val end = fixture.finish(second, AttemptResult.Broken(0, isCrash = true))
                end.filterIsInstance<ServingAction.Convict>().single().fingerprint.hex shouldBe "bad0"
                end.refusals().single().mayHaveRun shouldBe true
                val again = fixture.arrive(fixture.spec(fingerprint = "bad0")).refusals().single()
                again.refusal shouldBe Refusal.Quarantined
                again.mayHaveRun shouldBe false
            }
            it("are tried again on other engines than their innocent neighbours") {
                val fixture = ServingFixture(engines = 3, slots = 4)
                val all = (1..3).flatMap { fixture.arrive(fixture.spec(fingerprint = "bad$it")) }.dispatches()
                val broken = all.flatMap { fixture.finish(it, AttemptResult.Broken(0, isCrash = true)) }
                val repeated = (broken + fixture.pass(2_000)).dispatches()
                repeated shouldHaveSize 3
                repeated.map { it.route.answering }.toSet() shouldHaveSize 3
            }
        }
        describe("engines that crashed") {
            it("leave a suspect without an engine of its own, which holds up nobody else of its class") {
                val fixture = ServingFixture(engines = 3, slots = 4, entries = 3)
                repeat(3) { fixture.handle(ServingEvent.ReportMissed(fixture.names[0])) }
                val first = fixture.arrive(fixture.spec()).dispatches().single()
                fixture.finish(first, AttemptResult.Broken(0, isCrash = true))
                fixture.pass(100)
                fixture.arrive(fixture.spec()).dispatches() shouldHaveSize 1
            }
            it("are used again as soon as they answer under a new incarnation") {
                val fixture = ServingFixture(engines = 1)
                repeat(8) { fixture.handle(ServingEvent.ReportMissed(fixture.names[0])) }
                fixture.arrive(fixture.spec()).dispatches().shouldBeEmpty()
                fixture.report(fixture.names[0], incarnation = "2").dispatches() shouldHaveSize 1
            }
        }
        describe("split roles") {
            it("leave no work waiting where an engine only reads and all others do both") {
                val fixture = ServingFixture(engines = 3, slots = 10)
                fixture.report(fixture.names[0], role = marigoldward.core.model.EngineRole.PREFILL)
                val dispatches = (1..9).flatMap { fixture.arrive(fixture.spec()) }.dispatches()
                dispatches shouldHaveSize 9
                dispatches.none { it.route.answering == fixture.names[0] } shouldBe true
            }
            it("read on a prefill engine and answer from a decode engine") {
                val fixture = ServingFixture(engines = 2)
                fixture.report(fixture.names[0], role = marigoldward.core.model.EngineRole.PREFILL)
                fixture.report(fixture.names[1], role = marigoldward.core.model.EngineRole.DECODE)
                val route = fixture.arrive(fixture.spec()).dispatches().single().route
                route shouldBe Route.Split(fixture.names[0], fixture.names[1])
                route.answering shouldNotBe fixture.names[0]
            }
        }
    })
