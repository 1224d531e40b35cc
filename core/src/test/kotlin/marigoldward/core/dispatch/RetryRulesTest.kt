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

private fun next(route: Route, vararg ends: AttemptEnd, leftMillis: Long = 500): RetryRules.Next {
    val history = ends.fold(AttemptHistory.NONE) { history, end -> history.after(end) }
    return RetryRules.next(route, history, ends.last(), leftMillis)
}

class RetryRulesTest :
    DescribeSpec({
        val booking = route(RequestKind.NON_IDEMPOTENT, attempts = 3)
        val lookup = route(RequestKind.IDEMPOTENT, attempts = 2)

        describe("a request that must not run twice") {
            it("is never sent again once it may have run") {
                listOf(AttemptEnd.BROKEN, AttemptEnd.SILENT, AttemptEnd.FAILED).forEach { end ->
                    next(booking, end) shouldBe RetryRules.Next.GIVE_UP
                }
            }
            it("is sent again if no byte of it was sent, and nobody counts that") {
                next(booking, AttemptEnd.UNREACHABLE) shouldBe RetryRules.Next.SEND_AGAIN
            }
            it("is sent again from the budget if an upstream said that it did not run it") {
                next(booking, AttemptEnd.NOT_RUN) shouldBe RetryRules.Next.SEND_AGAIN_FROM_BUDGET
                next(booking, AttemptEnd.MISDIRECTED) shouldBe RetryRules.Next.SEND_AGAIN_FROM_BUDGET
            }
            it("is not sent on for ever") {
                next(booking, AttemptEnd.NOT_RUN, AttemptEnd.NOT_RUN, AttemptEnd.NOT_RUN) shouldBe
                    RetryRules.Next.GIVE_UP
            }
        }
        describe("a request that may be repeated") {
            it("runs on as many upstreams as its route allows") {
                next(lookup, AttemptEnd.BROKEN) shouldBe RetryRules.Next.SEND_AGAIN_FROM_BUDGET
                next(lookup, AttemptEnd.BROKEN, AttemptEnd.FAILED) shouldBe RetryRules.Next.GIVE_UP
            }
            it("is given up when too little time is left") {
                next(lookup, AttemptEnd.BROKEN, leftMillis = 10) shouldBe RetryRules.Next.GIVE_UP
            }
        }
        describe("a stream") {
            it("goes on elsewhere only if its route lets it") {
                next(route(RequestKind.STREAM, 2), AttemptEnd.BROKEN) shouldBe RetryRules.Next.GIVE_UP
                next(route(RequestKind.STREAM, 2, isResumable = true), AttemptEnd.BROKEN) shouldBe
                    RetryRules.Next.SEND_AGAIN_FROM_BUDGET
            }
        }
        describe("an entry's part of the budget for repeats") {
            it("is a part of the slack and of the requests, over a sliding window") {
                val allowance = RetryAllowance(ratio = 0.2, slack = 56, windowMillis = 10_000)
                val taken = (1..20).count { allowance.tryTake(entries = 8, nowMillis = 1_000) }
                taken shouldBe 5
                allowance.tryTake(entries = 8, nowMillis = 10_900) shouldBe false
                allowance.tryTake(entries = 8, nowMillis = 11_001) shouldBe true
            }
            it("grows with the requests") {
                val allowance = RetryAllowance(ratio = 0.2, slack = 0, windowMillis = 10_000)
                repeat(100) { allowance.requested(0) }
                (1..100).count { allowance.tryTake(entries = 8, nowMillis = 1) } shouldBe 15
            }
        }
    })
