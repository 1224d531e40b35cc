package marigoldward.gateway.session

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import marigoldward.gateway.FakeUpstream
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.TestGateway
import marigoldward.gateway.firstThenOthers
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private const val TARGET_MILLIS = 300L
private const val OVERDUE_MILLIS = 2 * TARGET_MILLIS
private const val TIMEOUT_MILLIS = 3_000L
private const val LONG_TIMEOUT_MILLIS = 4_500L
private const val GAP_MILLIS = 100L
private const val CALLERS = 20

/** As many requests as the budget of a retry needs; one is the overdue one. */
private const val REQUESTS_FOR_A_RETRY = 8

private fun get(id: String = "1") = "GET /i/x HTTP/1.1\r\nHost: h.example\r\nX-Id: $id\r\n\r\n"

private fun FakeUpstream.Call.begin() =
    write("HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n")

/** Sends a whole answer of [chunks] chunks, one every [GAP_MILLIS]. */
private fun FakeUpstream.Call.answerIn(chunks: Int) {
    begin()
    repeat(chunks) {
        write("1\r\nc\r\n")
        Thread.sleep(GAP_MILLIS)
    }
    write("0\r\n\r\n")
}

private fun <T> withGateway(
    upstreams: List<FakeUpstream>,
    retryBudgetSlack: Int = 64,
    timeoutMillis: Long = TIMEOUT_MILLIS,
    targetMillis: Long = TARGET_MILLIS,
    action: (TestGateway) -> T,
): T = TestGateway(
    upstreams.map { it.address to null },
    timeoutMillis = timeoutMillis,
    targetLatencyMillis = targetMillis,
    retryBudgetSlack = retryBudgetSlack,
).use { gateway -> action(gateway).also { upstreams.forEach(FakeUpstream::close) } }

private fun <T> inParallel(count: Int, action: (Int) -> T): List<T> {
    val threads = Executors.newFixedThreadPool(count)
    try {
        return threads.invokeAll((1..count).map { Callable { action(it) } }).map { it.get() }
    } finally {
        threads.shutdown()
    }
}

class OverdueAnswerTest :
    DescribeSpec({
        describe("a service that is slow as a whole") {
            // Guards against answers that are under way and are given up and run again, which doubles the work.
            it("runs each request once while the bytes of its answer keep coming") {
                val upstreams = List(3) { FakeUpstream { it.answerIn(chunks = 12) } }
                val answers = withGateway(upstreams) { gateway ->
                    inParallel(CALLERS) { caller ->
                        gateway.caller().use { connection ->
                            connection.send(get("c$caller"))
                            connection.readResponse()?.let { it.status to it.body }
                        }
                    }
                }
                val runs = upstreams.flatMap { it.calls }.groupingBy { it.id }.eachCount()
                withClue("runs") { runs shouldContainExactly (1..CALLERS).associate { "c$it" to 1 } }
                answers shouldContainExactly List(CALLERS) { 200 to "c".repeat(12) }
            }
        }
        describe("an answer that has begun") {
            // Guards against a request that waits until its deadline for an answer that has stopped.
            it("is overdue once nothing more of it came for as long as an answer that never began") {
                val script = firstThenOthers(
                    { call ->
                        call.begin()
                        repeat(7) {
                            call.write("1\r\nc\r\n")
                            Thread.sleep(GAP_MILLIS)
                        }
                        Thread.sleep(TIMEOUT_MILLIS)
                    },
                    { it.respond("second") },
                )
                val upstreams = List(2) { FakeUpstream(script) }
                val startMillis = MonotonicClock.nowMillis()
                withGateway(upstreams) { gateway ->
                    gateway.caller().use { caller ->
                        caller.send(get())
                        caller.readResponse()?.body shouldBe "second"
                    }
                }
                val elapsedMillis = MonotonicClock.nowMillis() - startMillis
                elapsedMillis shouldBeInRange 6 * GAP_MILLIS + OVERDUE_MILLIS..<TIMEOUT_MILLIS
                upstreams.sumOf { it.calls.size } shouldBe 2
            }
            // Guards against a request that an upstream holds past its deadline with single bytes.
            it("ends at the deadline of its request, run once, if it trickles") {
                val upstreams = List(2) { FakeUpstream { it.answerIn(chunks = 50) } }
                val startMillis = MonotonicClock.nowMillis()
                withGateway(upstreams) { gateway ->
                    gateway.caller().use { caller ->
                        caller.send(get())
                        caller.readResponse()?.status shouldBe 504
                    }
                }
                MonotonicClock.nowMillis() - startMillis shouldBeInRange TIMEOUT_MILLIS..TIMEOUT_MILLIS + 500
                upstreams.sumOf { it.calls.size } shouldBe 1
            }
        }
        describe("an overdue request that the retry budget did not cover") {
            // Guards against a lost answer that is waited for until the deadline though the budget has grown meanwhile.
            it("is sent to another upstream once it does") {
                val script = firstThenOthers({ Thread.sleep(LONG_TIMEOUT_MILLIS) }, { it.respond("second") })
                val upstreams = List(2) { FakeUpstream(script) }
                withGateway(upstreams, retryBudgetSlack = 0, timeoutMillis = LONG_TIMEOUT_MILLIS) { gateway ->
                    gateway.caller().use { caller ->
                        caller.send(get())
                        Thread.sleep(OVERDUE_MILLIS + GAP_MILLIS)
                        repeat(REQUESTS_FOR_A_RETRY) { number ->
                            gateway.caller().use { other ->
                                other.send(get("other-$number"))
                                other.readResponse()?.body shouldBe "second"
                            }
                        }
                        caller.readResponse()?.body shouldBe "second"
                    }
                }
            }
        }
        describe("a route without a target") {
            // Guards against an event loop that asks the empty retry budget again and again without a pause.
            it("asks the retry budget for an unanswered request a few times") {
                val upstreams = List(2) {
                    FakeUpstream {
                        Thread.sleep(1_000)
                        it.respond("late")
                    }
                }
                val denied = GatewayMetrics.retries.labelValues("denied")
                val deniedBefore = denied.get()
                withGateway(upstreams, retryBudgetSlack = 0, targetMillis = 0) { gateway ->
                    gateway.caller().use { caller ->
                        caller.send(get())
                        caller.readResponse()?.body shouldBe "late"
                    }
                }
                denied.get() - deniedBefore shouldBeLessThanOrEqual 20.0
            }
        }
        describe("an overdue request for which no other upstream is usable") {
            // Guards against a slow answer that is cut off, and its caller told 502, where nothing else could answer.
            listOf("there is no other" to 1, "the other refuses requests" to 2).forEach { (case, count) ->
                it("is awaited as $case") {
                    val refusal = "X-Not-Run: 1\r\nX-Refuses-For: 10000\r\n"
                    val refusing = FakeUpstream { it.respond("", "503 Service Unavailable", refusal) }
                    val slow = FakeUpstream {
                        if (it.id == "slow") Thread.sleep(7 * TARGET_MILLIS)
                        it.respond("sound")
                    }
                    withGateway(listOf(slow, refusing).take(count)) { gateway ->
                        gateway.caller().use { caller ->
                            repeat(if (count > 1) 40 else 0) {
                                caller.send(get("$it"))
                                caller.readResponse()?.status shouldBe 200
                            }
                            caller.send(get("slow"))
                            caller.readResponse()?.let { it.status to it.body } shouldBe (200 to "sound")
                        }
                    }
                    refusing.close()
                    refusing.calls.size shouldBe count - 1
                    slow.calls.count { it.id == "slow" } shouldBe 1
                }
            }
        }
    })
