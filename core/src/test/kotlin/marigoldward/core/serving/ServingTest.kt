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
import marigoldward.core.model.EngineRole
import marigoldward.core.model.UpstreamId

class ServingTest :
    DescribeSpec({
        describe("admission") {
            it("refuses requests as not run while shutting down") {
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
            it("refuses the requests of one caller before they fill the queue") {
                val fixture = ServingFixture(engines = 1, slots = 1)
                val flood = (1..4_000).flatMap {
                    fixture.arrive(fixture.spec(fixture.routine, outputTokens = 1, caller = "flood"))
                }
                flood.refusals().map { it.refusal.label }.toSet() shouldBe setOf("caller_over_share")
                fixture.arrive(fixture.spec(fixture.routine, caller = "other")).refusals().shouldBeEmpty()
            }
            it("refuses a request as not run once it has waited for as long as its class allows") {
                val fixture = ServingFixture(engines = 0)
                val setAside = UpstreamId.parse("gone")
                fixture.list(listOf(setAside), emptyList())
                fixture.handle(ServingEvent.RestrictionsChanged(emptySet(), setOf(setAside)))
                fixture.arrive(fixture.spec()).shouldBeEmpty()
                val refusal = fixture.advance(600).refusals().single()
                refusal.refusal.shouldBeInstanceOf<Refusal.Expired>()
                refusal.mayHaveRun shouldBe false
            }
        }
        describe("dispatch order") {
            it("sends requests of the highest class before earlier ones of a lower class") {
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
            it("gives a lower class its guaranteed share while the highest class exceeds the capacity") {
                val fixture = ServingFixture(engines = 1, slots = 4)
                repeat(40) { fixture.arrive(fixture.spec(fixture.routine, promptTokens = 400, outputTokens = 100)) }
                var inFlight = emptyList<ServingAction.Dispatch>()
                var routineCount = 0
                var finishedCount = 0
                repeat(300) {
                    val actions =
                        fixture.arrive(fixture.spec(promptTokens = 400, outputTokens = 100)) + fixture.advance(10)
                    inFlight = inFlight + actions.dispatches()
                    inFlight.firstOrNull()?.let { oldest ->
                        finishedCount++
                        inFlight = inFlight.drop(1) + fixture.finish(oldest, AttemptResult.Done).dispatches()
                    }
                }
                routineCount = 40 - fixture.state.pools.values.single().queues.getValue(fixture.routine.name).size
                routineCount shouldBeGreaterThanOrEqual minOf(40, finishedCount / 4 - 2)
            }
        }
        describe("routing") {
            it("sends no requests to a leaving upstream") {
                val fixture = ServingFixture(engines = 2, slots = 10)
                fixture.list(fixture.engineIds.take(1), fixture.engineIds.drop(1))
                val routes = (1..6).flatMap {
                    fixture.arrive(fixture.spec())
                }.dispatches().map { it.route.answeringUpstream }
                routes.toSet() shouldContainExactly setOf(fixture.engineIds[0])
            }
            it("sends no requests to an engine that is set aside") {
                val fixture = ServingFixture(engines = 2, slots = 10)
                fixture.handle(ServingEvent.RestrictionsChanged(emptySet(), setOf(fixture.engineIds[0])))
                val routes = (1..6).flatMap {
                    fixture.arrive(fixture.spec())
                }.dispatches().map { it.route.answeringUpstream }
                routes.toSet() shouldContainExactly setOf(fixture.engineIds[1])
            }
            it("adds its own attempts since the last report to the reported load") {
                val fixture = ServingFixture(engines = 4, slots = 10)
                val routes = (1..8).flatMap {
                    fixture.arrive(fixture.spec())
                }.dispatches().map { it.route.answeringUpstream }
                routes.groupingBy { it }.eachCount().values.max() shouldBeLessThanOrEqual 3
            }
            it("sends prompts with the same prefix to the same engine while that engine is idle") {
                val fixture = ServingFixture(engines = 4, slots = 10)
                val pieceHashes = listOf(1L, 2L, 3L)
                val routes = (1..5).map {
                    val dispatch = fixture.arrive(
                        fixture.spec(promptTokens = 13_000, pieceHashes = pieceHashes),
                    ).dispatches().single()
                    fixture.handle(ServingEvent.AttemptPrefilled(dispatch.id, dispatch.attempt))
                    fixture.finish(dispatch, AttemptResult.Done)
                    dispatch.route.answeringUpstream
                }
                routes.toSet() shouldHaveSize 1
            }
            it("ejects an upstream after consecutive failures, and probes it later with one attempt") {
                val fixture = ServingFixture(engines = 1, slots = 10)
                repeat(3) { fixture.handle(ServingEvent.LoadReportMissed(fixture.engineIds[0])) }
                fixture.arrive(fixture.spec()).dispatches().shouldBeEmpty()
                fixture.advance(500).dispatches() shouldHaveSize 1
                fixture.arrive(fixture.spec()).dispatches().shouldBeEmpty()
            }
        }
        describe("retries") {
            it("never resend a request that is not repeatable once it may have run") {
                val fixture = ServingFixture(engines = 2)
                val dispatch = fixture.arrive(fixture.spec(isRepeatable = false)).dispatches().single()
                val actions =
                    fixture.finish(dispatch, AttemptResult.Broken(0, isCrash = false)) + fixture.advance(1_000)
                actions.dispatches().shouldBeEmpty()
                actions.refusals().single().mayHaveRun shouldBe true
            }
            it("resend a request that is not repeatable if no upstream has run it") {
                val fixture = ServingFixture(engines = 2)
                val dispatch = fixture.arrive(fixture.spec(isRepeatable = false)).dispatches().single()
                val actions =
                    fixture.finish(dispatch, AttemptResult.NotRun(isUpstreamFault = true)) + fixture.advance(1_000)
                actions.dispatches() shouldHaveSize 1
            }
            it("resume after the tokens that were already delivered to the caller") {
                val fixture = ServingFixture(engines = 2)
                val dispatch = fixture.arrive(fixture.spec()).dispatches().single()
                val actions =
                    fixture.finish(dispatch, AttemptResult.Broken(4, isCrash = false)) + fixture.advance(1_000)
                actions.dispatches().single().deliveredTokens shouldBe 4
            }
            it("stop when the retry budget is used up") {
                val fixture = ServingFixture(engines = 8, slots = 100)
                var refused = emptyList<ServingAction.Refuse>()
                repeat(60) {
                    val dispatch = fixture.arrive(fixture.spec()).dispatches().singleOrNull() ?: return@repeat
                    val actions = fixture.finish(dispatch, AttemptResult.Broken(0, isCrash = false))
                    refused = refused + actions.refusals()
                    fixture.engineIds.forEach { fixture.report(it) }
                    val repeated = (actions + fixture.advance(700)).dispatches()
                    repeated.forEach { fixture.finish(it, AttemptResult.Done) }
                }
                refused.map { it.refusal.label }.toSet() shouldBe setOf("retry_budget_spent")
            }
        }
        describe("requests that crash upstreams") {
            it("are quarantined at the second crash, after which equal requests are refused as not run") {
                val fixture = ServingFixture(engines = 4)
                val first = fixture.arrive(fixture.spec(fingerprint = "bad0")).dispatches().single()
                val crashed = fixture.finish(first, AttemptResult.Broken(0, isCrash = true))
                val second = (crashed + fixture.advance(1_000)).dispatches().single()
                second.isSuspect shouldBe true
                val end = fixture.finish(second, AttemptResult.Broken(0, isCrash = true))
                end.filterIsInstance<ServingAction.Quarantine>().single().fingerprint.hex shouldBe "bad0"
                end.refusals().single().mayHaveRun shouldBe true
                val again = fixture.arrive(fixture.spec(fingerprint = "bad0")).refusals().single()
                again.refusal shouldBe Refusal.Quarantined
                again.mayHaveRun shouldBe false
            }
            // Guards against a request that has one attempt only, which its callers send again, crashing engine after engine.
            it("are quarantined at the second crash also if each crash is that of another equal request") {
                val fixture = ServingFixture(engines = 4)
                val first = fixture.arrive(
                    fixture.spec(fingerprint = "bad0", isRepeatable = false),
                ).dispatches().single()
                fixture.finish(first, AttemptResult.Broken(0, isCrash = true))
                val resent = fixture.arrive(
                    fixture.spec(fingerprint = "bad0", isRepeatable = false),
                ).dispatches().single()
                resent.isSuspect shouldBe true
                val end = fixture.finish(resent, AttemptResult.Broken(0, isCrash = true))
                end.filterIsInstance<ServingAction.Quarantine>().single().fingerprint.hex shouldBe "bad0"
                fixture.arrive(fixture.spec(fingerprint = "bad0")).refusals().single().mayHaveRun shouldBe false
            }
            it("are no longer suspects once an equal request was answered, and not because engines crash together") {
                val fixture = ServingFixture(engines = 4)
                val together = (1..2).flatMap {
                    fixture.arrive(fixture.spec(fingerprint = "bad0", isRepeatable = false))
                }
                together.dispatches().forEach { dispatch ->
                    val end = fixture.finish(dispatch, AttemptResult.Broken(0, isCrash = true))
                    end.filterIsInstance<ServingAction.Quarantine>().shouldBeEmpty()
                }
                val sound = fixture.arrive(fixture.spec(fingerprint = "bad0")).dispatches().single()
                fixture.finish(sound, AttemptResult.Done)
                fixture.arrive(fixture.spec(fingerprint = "bad0")).dispatches().single().isSuspect shouldBe false
            }
            it("are retried on separate engines, so that the request that caused the crash can be told apart") {
                val fixture = ServingFixture(engines = 3, slots = 4)
                val all = (1..3).flatMap { fixture.arrive(fixture.spec(fingerprint = "bad$it")) }.dispatches()
                val broken = all.flatMap { fixture.finish(it, AttemptResult.Broken(0, isCrash = true)) }
                val repeated = (broken + fixture.advance(2_000)).dispatches()
                repeated shouldHaveSize 3
                repeated.map { it.route.answeringUpstream }.toSet() shouldHaveSize 3
            }
            // Guards against a sound request that is quarantined as it shared two crashed engines with the one that crashed them.
            it("are not prefilled on one engine at once, nor on one that answers another suspect") {
                val fixture = ServingFixture(engines = 4, slots = 4)
                fixture.report(fixture.engineIds[0], role = EngineRole.PREFILL)
                (1..3).forEach { fixture.report(fixture.engineIds[it], role = EngineRole.DECODE) }
                val all = (1..2).flatMap { fixture.arrive(fixture.spec(fingerprint = "bad$it")) }.dispatches()
                val broken = all.flatMap { fixture.finish(it, AttemptResult.Broken(0, isCrash = true)) }
                val first = (broken + fixture.advance(2_000)).dispatches().single()
                first.route.shouldBeInstanceOf<Route.Split>().prefill shouldBe fixture.engineIds[0]
                val prefilled = fixture.handle(ServingEvent.AttemptPrefilled(first.id, first.attempt))
                val second = (prefilled + fixture.advance(100)).dispatches().single()
                second.id shouldNotBe first.id
                second.route.answeringUpstream shouldNotBe first.route.answeringUpstream
            }
        }
        describe("engines that crashed") {
            it("may leave no engine that a suspect may use, which does not delay other requests of its class") {
                val fixture = ServingFixture(engines = 3, slots = 4, entries = 3)
                repeat(3) { fixture.handle(ServingEvent.LoadReportMissed(fixture.engineIds[0])) }
                val first = fixture.arrive(fixture.spec()).dispatches().single()
                fixture.finish(first, AttemptResult.Broken(0, isCrash = true))
                fixture.advance(100)
                fixture.arrive(fixture.spec(fingerprint = "cd")).dispatches() shouldHaveSize 1
            }
            it("are used again as soon as they report a new incarnation") {
                val fixture = ServingFixture(engines = 1)
                repeat(8) { fixture.handle(ServingEvent.LoadReportMissed(fixture.engineIds[0])) }
                fixture.arrive(fixture.spec()).dispatches().shouldBeEmpty()
                fixture.report(fixture.engineIds[0], incarnation = "2").dispatches() shouldHaveSize 1
            }
        }
        describe("separate prefill and decode engines") {
            it("leave no request waiting if one engine only prefills and all others have the mixed role") {
                val fixture = ServingFixture(engines = 3, slots = 10)
                fixture.report(fixture.engineIds[0], role = EngineRole.PREFILL)
                val dispatches = (1..9).flatMap { fixture.arrive(fixture.spec()) }.dispatches()
                dispatches shouldHaveSize 9
                dispatches.none { it.route.answeringUpstream == fixture.engineIds[0] } shouldBe true
            }
            it("prefill on the prefill engine and answer from the decode engine") {
                val fixture = ServingFixture(engines = 2)
                fixture.report(fixture.engineIds[0], role = EngineRole.PREFILL)
                fixture.report(fixture.engineIds[1], role = EngineRole.DECODE)
                val route = fixture.arrive(fixture.spec()).dispatches().single().route
                route shouldBe Route.Split(fixture.engineIds[0], fixture.engineIds[1])
                route.answeringUpstream shouldNotBe fixture.engineIds[0]
            }
        }
    })
