package marigoldward.control.capacity

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import marigoldward.control.duties.ProviderCalls
import marigoldward.control.replica.LeaderTerm
import marigoldward.control.replica.ReplicaDutyEvent
import marigoldward.core.capacity.EngineScaling
import marigoldward.core.dispatch.EngineStage
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.support.directory.DirectoryReading
import marigoldward.support.duty.Duty
import marigoldward.support.time.MonotonicClock
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private val SERVICE = PoolName.parse("engines")
private val CENTRE = DataCentre.parse("dc-a")
private val SCALING = EngineScaling(1, 20, bootMillis = 0, reclaimablePrice = 0.2, prices = emptyMap())

private fun engines(regular: Int, reclaimable: Int, areReclaimed: Boolean = false): List<ListedUpstream> =
    List(regular + reclaimable) { number ->
        val isReclaimable = number >= regular
        ListedUpstream(
            UpstreamId.parse("engine-$number"),
            SERVICE,
            "127.0.0.1:${1_000 + number}",
            CENTRE,
            slots = 64,
            isLeaving = isReclaimable && areReclaimed,
            isCold = false,
            stage = EngineStage.DECODE,
            isReclaimable,
        )
    }

/** A provider that answers as [answer] says. */
private class FakeProvider(var answer: (ProviderCalls.EngineOrder) -> ProviderCalls.CallResult) : ProviderCalls {
    val orders = CopyOnWriteArrayList<ProviderCalls.EngineOrder>()

    /** The orders as count and kind, "r" for reclaimable. */
    val counts: List<String> get() = orders.map { "${it.count}${if (it.isReclaimable) "r" else ""}" }

    override fun reportUsage(report: ProviderCalls.UsageCall, mayWrite: () -> Boolean) = error("not expected")

    override fun orderEngines(order: ProviderCalls.EngineOrder, mayWrite: () -> Boolean): ProviderCalls.CallResult {
        orders += order
        return answer(order)
    }
}

private class Setup(val provider: FakeProvider, val duty: CapacityDuty, private val reads: AtomicInteger) {
    /** Does one round of the duty. */
    suspend fun round() {
        val before = reads.get()
        duty.poll()
        eventually(10.seconds) { reads.get() shouldBeGreaterThan before }
        Thread.sleep(100)
    }
}

private class State(var listed: List<ListedUpstream>, var term: Long? = 1, var ageMillis: Long = 0)

private suspend fun withDuty(
    state: State,
    answer: (ProviderCalls.EngineOrder) -> ProviderCalls.CallResult,
    action: suspend Setup.() -> Unit,
) {
    val reads = AtomicInteger()
    val provider = FakeProvider(answer)
    val replica = Duty.start<ReplicaDutyEvent>("replica", 64) { events ->
        events.filterIsInstance<ReplicaDutyEvent.ReadLeaderTerm>().forEach { it.answer(state.term) }
    }
    val directory = {
        reads.incrementAndGet()
        DirectoryReading(state.listed, MonotonicClock.nowMillis() - state.ageMillis)
    }
    val term = LeaderTerm(replica, takeoverDelayMillis = 0)
    replica.use {
        CapacityDuty("10.0.0.1", provider, term, { mapOf(SERVICE to SCALING) }, directory, { null }).use { duty ->
            Setup(provider, duty, reads).action()
        }
    }
}

private val ACCEPTED = { _: ProviderCalls.EngineOrder -> ProviderCalls.CallResult.Accepted }

class CapacityDutyTest :
    DescribeSpec({
        describe("an order without an answer") {
            // Guards against a different order that the late one overrides when it arrives.
            it("is repeated as it was, and no other one is sent to its data centre") {
                val state = State(engines(5, 0))
                withDuty(state, { ProviderCalls.CallResult.Unknown("no answer") }) {
                    round()
                    Thread.sleep(2_000)
                    round()
                    provider.counts shouldBe listOf("4r", "4r")
                    state.listed = engines(1, 3)
                    Thread.sleep(2_000)
                    round()
                    provider.counts.distinct() shouldBe listOf("4r")
                }
            }
        }
        describe("a conflict for want of reclaimable engines") {
            // Guards against a data centre that waits a round for its replacements.
            it("is followed by an order for regular ones in the same round") {
                val state = State(engines(1, 4))
                withDuty(state, { order ->
                    if (order.isReclaimable) ProviderCalls.CallResult.Conflict else ProviderCalls.CallResult.Accepted
                }) {
                    round()
                    provider.orders.shouldBeEmpty()
                    state.listed = engines(1, 4, areReclaimed = true)
                    round()
                    provider.counts shouldBe listOf("4r", "5")
                }
            }
        }
        describe("a conflict because another instance leads") {
            // Guards against a further call with a token that was refused.
            it("is followed by no further call") {
                val state = State(engines(1, 4))
                withDuty(state, {
                    state.term = null
                    ProviderCalls.CallResult.Conflict
                }) {
                    round()
                    state.listed = engines(1, 4, areReclaimed = true)
                    round()
                    duty.poll()
                    Thread.sleep(200)
                    provider.counts shouldBe listOf("4r")
                }
            }
        }
        describe("a change of the leader") {
            // Guards against orders that count the engines of both kinds, which the leader before was exchanging.
            it("in the middle of an exchange orders nothing at first; later orders carry the new token") {
                val state = State(engines(5, 0))
                withDuty(state, ACCEPTED) {
                    round()
                    state.term = 2
                    state.listed = engines(5, 4)
                    round()
                    provider.counts shouldBe listOf("4r")
                    state.listed = engines(5, 4, areReclaimed = true)
                    round()
                    provider.orders.map { it.count to it.token.number } shouldBe listOf(4 to 1L, 4 to 2L)
                }
            }
        }
        describe("a list that is too old") {
            it("leads to no order") {
                val state = State(engines(5, 0), ageMillis = 3_500)
                withDuty(state, ACCEPTED) {
                    round()
                    provider.orders.shouldBeEmpty()
                    state.ageMillis = 0
                    round()
                    provider.counts shouldBe listOf("4r")
                }
            }
        }
        // Guards against a process that halts (exit code 70) because of a call that can't be made.
        describe("an exception in a call") {
            it("counts as a call without an answer") {
                withDuty(State(engines(5, 0)), { error("the call can't be made") }) {
                    round()
                    Thread.sleep(2_000)
                    round()
                    provider.counts shouldBe listOf("4r", "4r")
                }
            }
        }
    })
