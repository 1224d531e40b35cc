package marigoldward.core.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import marigoldward.core.model.PoolName
import marigoldward.core.routes.RequestKind
import marigoldward.core.routes.Route
import marigoldward.core.routes.ServiceShare

private fun route(kind: RequestKind, attempts: Int, isResumable: Boolean = false): Route = Route(
    name = "route",
    host = "host.example",
    pathPrefix = "/",
    kind = kind,
    shares = listOf(ServiceShare(PoolName.parse("service"), 1)),
    timeoutMillis = 1_000,
    targetLatencyMillis = 100,
    targetGapMillis = 0,
    priority = 0,
    maxAttempts = attempts,
    isResumable = isResumable,
    hasPrompts = false,
)

private fun decide(route: Route, vararg ends: AttemptEnd, remainingMillis: Long = 500): RetryRules.Decision {
    val history = ends.fold(AttemptHistory.NONE) { history, end -> history.after(end) }
    return RetryRules.decide(route, history, ends.last(), remainingMillis)
}

class RetryRulesTest :
    DescribeSpec({
        val booking = route(RequestKind.NON_IDEMPOTENT, attempts = 3)
        val lookup = route(RequestKind.IDEMPOTENT, attempts = 2)

        describe("a request that must not run twice") {
            it("is never sent again once it may have run") {
                listOf(AttemptEnd.BROKEN, AttemptEnd.SILENT, AttemptEnd.FAILED).forEach { end ->
                    decide(booking, end) shouldBe RetryRules.Decision.GIVE_UP
                }
            }
            it("is sent again without charge to the budget if no byte of it was sent") {
                decide(booking, AttemptEnd.UNREACHABLE) shouldBe RetryRules.Decision.SEND_AGAIN
            }
            it("is sent again from the budget if the upstream reports that it did not run") {
                decide(booking, AttemptEnd.NOT_RUN) shouldBe RetryRules.Decision.SEND_AGAIN_FROM_BUDGET
                decide(booking, AttemptEnd.MISDIRECTED) shouldBe RetryRules.Decision.SEND_AGAIN_FROM_BUDGET
            }
            it("is given up after a limited number of refusals") {
                decide(booking, AttemptEnd.NOT_RUN, AttemptEnd.NOT_RUN, AttemptEnd.NOT_RUN) shouldBe
                    RetryRules.Decision.GIVE_UP
            }
        }
        describe("an idempotent request") {
            it("runs on as many upstreams as its route allows") {
                decide(lookup, AttemptEnd.BROKEN) shouldBe RetryRules.Decision.SEND_AGAIN_FROM_BUDGET
                decide(lookup, AttemptEnd.BROKEN, AttemptEnd.FAILED) shouldBe RetryRules.Decision.GIVE_UP
            }
            it("is given up when too little time is left") {
                decide(lookup, AttemptEnd.BROKEN, remainingMillis = 10) shouldBe RetryRules.Decision.GIVE_UP
            }
        }
        describe("a stream") {
            it("is sent again after a break only if its route is resumable") {
                decide(route(RequestKind.STREAM, 2), AttemptEnd.BROKEN) shouldBe RetryRules.Decision.GIVE_UP
                decide(route(RequestKind.STREAM, 2, isResumable = true), AttemptEnd.BROKEN) shouldBe
                    RetryRules.Decision.SEND_AGAIN_FROM_BUDGET
            }
        }
        describe("a gateway's share of the retry budget") {
            it("covers a fraction of the slack in a sliding window") {
                val budget = RetryBudgetShare(ratio = 0.2, slack = 56, windowMillis = 10_000)
                val taken = (1..20).count { budget.tryTake(gateways = 8, nowMillis = 1_000) }
                taken shouldBe 5
                budget.tryTake(gateways = 8, nowMillis = 10_900) shouldBe false
                budget.tryTake(gateways = 8, nowMillis = 11_001) shouldBe true
            }
            it("grows with the number of requests") {
                val budget = RetryBudgetShare(ratio = 0.2, slack = 0, windowMillis = 10_000)
                repeat(100) { budget.recordRequest(0) }
                (1..100).count { budget.tryTake(gateways = 8, nowMillis = 1) } shouldBe 15
            }
        }
    })
